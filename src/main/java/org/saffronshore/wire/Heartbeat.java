package org.saffronshore.wire;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A worker's heartbeat: the worker's status, with all tasks on its machine.
 *
 * @param machine the machine's name
 * @param address the address at which the worker accepts direct commands, as host:port
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether the machine is a spot machine, which the cloud may take back
 * @param epoch the worker's epoch, which increases each time the worker's lease has expired
 * @param sequence the message's number, which increases with every message of the worker
 * @param fencingToken the highest fencing token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud takes the machine back; null if it has not given
 *     notice
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long epoch,
    long sequence,
    long fencingToken,
    @Nullable Double preemptionNoticeS,
    List<TaskStatus> tasks) {

  /** The state of a task on a machine. */
  public enum TaskState {
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** The reason why a task has exited; {@code NONE} for a task that has not exited. */
  public enum ExitReason {
    COMPLETED,
    STOPPED,
    FAILED,
    INSUFFICIENT_RESOURCES,
    ALREADY_RUNNING,
    UNKNOWN_TASK,
    NONE
  }

  /** The status of a task on a machine, as reported by the machine's worker. */
  public record TaskStatus(TaskId task, long attempt, TaskState state, ExitReason exitReason) {}

  /**
   * Reads a heartbeat, or a worker's response to a direct command, which has the same form.
   *
   * @throws InvalidFieldException if a field is missing or invalid; it names the field
   */
  public static Heartbeat parse(byte @Nullable [] body) throws InvalidFieldException {
    return HeartbeatParser.parse(body);
  }

  /** Returns whether the worker created this message after the one with the given numbers. */
  public boolean isNewerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
