package org.saffronshore.autoscaling;

/** The reason for which a machine is returned to the cloud. */
enum ReturnReason {
  /** The cloud lists the machine as failed. */
  FAILED,

  /** The worker has not come up within several times the boot time of the machine type. */
  NEVER_UP,

  /** The worker's lease has expired. */
  LOST,

  /** The worker sends heartbeats but seems to receive no commands. */
  UNRESPONSIVE,

  /** The machine was drained and holds no tasks any more. */
  DRAINED,

  /** Too many tasks in a row failed on the machine. */
  QUARANTINED,

  /** The cloud is about to preempt the machine, and it holds no tasks. */
  PREEMPTION_NOTICE,

  /** The machine has been idle for some time and is not needed as spare capacity. */
  IDLE
}
