package org.saffronshore.cluster;

/** Whether a machine's worker can be sent direct commands: at most one batch at a time. */
final class CommandDelivery {
  /** After this many failures in a row the pause before the next batch grows no longer. */
  private static final int MAX_BACKOFFS = 5;

  private boolean inFlight;
  private int consecutiveFailures;
  private double nextBatchAt = Double.NEGATIVE_INFINITY;

  boolean isInFlight() {
    return inFlight;
  }

  boolean isReady(double now) {
    return !inFlight && !(now < nextBatchAt);
  }

  /** Whether the last batch did not reach the worker for sure. */
  boolean isFailing() {
    return consecutiveFailures > 0;
  }

  void batchSent() {
    inFlight = true;
  }

  void batchCompleted() {
    inFlight = false;
  }

  /** The worker has received the last batch. */
  void succeeded() {
    consecutiveFailures = 0;
  }

  /**
   * The last batch may not have reached the worker.
   *
   * @param pauseS the pause before the next batch for each failure in a row
   */
  void failed(double now, double pauseS) {
    consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFFS);
    nextBatchAt = now + pauseS * consecutiveFailures;
  }
}
