package org.saffronshore.cluster;

/** What became of a {@link CommandBatch} that was sent to a worker. */
public enum DeliveryOutcome {
  /** The worker has executed it and sent its status. */
  EXECUTED,

  /** It never left this controller, or the worker has rejected it: it will not be executed. */
  NOT_EXECUTED,

  /** Neither is certain: it may be executed at any time as long as token and epoch match. */
  UNKNOWN
}
