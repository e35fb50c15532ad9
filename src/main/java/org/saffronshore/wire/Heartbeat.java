package org.saffronshore.wire;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A worker's heartbeat: its status, with all tasks on its machine.
 *
 * @param machine the machine's name
 * @param address where it takes direct commands, as host:port
 * @param spot whether the cloud may take the machine back
 * @param epoch rises each time the worker's lease has expired
 * @param sequence rises with every message of the worker
 * @param fencingToken the highest fencing token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud takes the machine back; null without a notice
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

  /** States of a task on a machine. */
  public enum TaskState {
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why a task has exited; NONE as long as it has not. */
  public enum ExitReason {
    COMPLETED,
    STOPPED,
    FAILED,
    INSUFFICIENT_RESOURCES,
    ALREADY_RUNNING,
    UNKNOWN_TASK,
    NONE
  }

  /** A task on a machine, as its worker reports it. */
  public record TaskStatus(TaskId task, long attempt, TaskState state, ExitReason exitReason) {}

  /**
   * Reads a heartbeat, or a worker's response to a direct command, which has the same form.
   *
   * @throws InvalidFieldException if a field is missing or not valid; it names the field
   */
  public static Heartbeat parse(byte @Nullable [] body) throws InvalidFieldException {
    return HeartbeatParser.parse(body);
  }

  /** Whether this message was made after another one of the same worker. */
  public boolean isNewerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
