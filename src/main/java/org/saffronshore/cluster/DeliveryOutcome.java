package org.saffronshore.cluster;

/** The outcome of sending a {@link CommandBatch} to a worker. */
public enum DeliveryOutcome {
  /** The worker has executed the batch and responded with its status. */
  EXECUTED,

  /** The batch will not be executed: it never left this controller, or the worker rejected it. */
  NOT_EXECUTED,

  /**
   * It is not known whether the batch was or will be executed. It may be executed at any time as
   * long as its fencing token and epoch match.
   */
  UNKNOWN
}
