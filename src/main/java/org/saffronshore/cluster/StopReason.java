package org.saffronshore.cluster;

/** Why the leader stops an attempt. */
enum StopReason {
  /** The job is done or was cancelled, in this term or an earlier one. */
  JOB_ENDED("the job has ended"),

  /** Another attempt has completed the task. */
  TASK_FINISHED("the task has already completed"),

  /** Another attempt at the same task runs on another reconciled machine. */
  DUPLICATE("the task is also on another machine"),

  /** The cloud reclaims the machine, and the task may not complete before that. */
  PREEMPTION_NOTICE("the cloud reclaims the machine"),

  /** The machine is being drained, so that it can be returned. */
  DRAIN("the machine is being drained"),

  /** The scheduling cycle preempted the task in favour of another one. */
  PREEMPTION("preempted for another task");

  private final String description;

  StopReason(String description) {
    this.description = description;
  }

  /** Returns the text that the log shows for the reason. */
  String description() {
    return description;
  }
}
