package org.saffronshore.cluster;

/** Why the leader stops an attempt. */
enum StopReason {
  /** Its job is over: it has ended, or was cancelled, here or in an earlier term. */
  JOB_ENDED("the job is over"),

  /** The task has completed in another attempt. */
  TASK_FINISHED("the task has completed already"),

  /** Another attempt at the same task runs on another reconciled machine. */
  DUPLICATE("the task is on another machine too"),

  /** The cloud takes the machine back before the task would end. */
  PREEMPTION_NOTICE("the cloud takes the machine back"),

  /** The machine is drained, so that it can be returned. */
  DRAIN("the machine is drained"),

  /** The scheduling cycle gives its place to another task. */
  PREEMPTION("preempted for another task");

  private final String description;

  StopReason(String description) {
    this.description = description;
  }

  /** For the log. */
  String description() {
    return description;
  }
}
