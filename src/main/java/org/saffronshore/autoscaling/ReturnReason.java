package org.saffronshore.autoscaling;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
  /** The cloud lists it as failed. */
  FAILED,

  /** Its worker has not come up in several times the usual boot time. */
  NEVER_UP,

  /** Its worker's lease has expired. */
  LOST,

  /** It receives no commands. */
  UNRESPONSIVE,

  /** It was drained, and its tasks are elsewhere now. */
  DRAINED,

  /** It failed too many tasks in a row. */
  QUARANTINED,

  /** It is empty, and the cloud is about to take it back. */
  PREEMPTION_NOTICE,

  /** It has been empty for a while, and is not needed as spare capacity. */
  IDLE
}
