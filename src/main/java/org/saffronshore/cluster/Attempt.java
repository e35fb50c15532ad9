package org.saffronshore.cluster;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * One try at a task on one machine, from the decision to start it until nothing of it can run any
 * more.
 */
public final class Attempt {

  /** SENDING: no report has shown it yet. */
  public enum State {
    LAUNCHING,
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  final TaskId task;
  final long number;
  final Machine machine;

  /**
   * Null when the job was over before this controller learned what the task takes of its machine.
   */
  JobSpec job;

  State state = State.LAUNCHING;
  boolean done;
  boolean stopping;
  double gracePeriodS;
  double stopSentAt = Double.NEGATIVE_INFINITY;

  /** Whether a launch has ever been handed to the network. */
  boolean launchSent;

  /** Launches that are under way and not answered yet. */
  int launchesInFlight;

  /** A launch was lost: it may arrive at any time as long as token and session match. */
  boolean deliveryUnknown;

  double runningSince = Double.NaN;

  /** Whether this leader saw it run from the start. */
  boolean observedFromStart;

  final double placedAt;

  /**
   * Its job had waited for very long: it is not stopped for others, or the job would never get
   * going.
   */
  boolean overdue;

  Attempt(TaskId task, long number, Machine machine, JobSpec job, double placedAt) {
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.job = job;
    this.placedAt = placedAt;
  }

  public TaskId task() {
    return task;
  }

  public long number() {
    return number;
  }

  public Machine machine() {
    return machine;
  }

  public JobSpec job() {
    return job;
  }

  public State state() {
    return state;
  }

  public boolean stopping() {
    return stopping;
  }

  public double runningSince() {
    return runningSince;
  }

  /**
   * Whether a launch may still reach the worker; to forget the attempt then would let it start
   * anew.
   */
  boolean launchMayArrive() {
    return deliveryUnknown || launchesInFlight > 0;
  }
}
