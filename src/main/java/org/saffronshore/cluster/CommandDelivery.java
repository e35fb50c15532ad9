package org.saffronshore.cluster;

/**
 * The state of the delivery of commands to one machine's worker: the fencing token of all messages
 * to it, the token that the worker has confirmed, and its direct commands, of which at most one
 * batch is in flight. Failures delay the next batch.
 */
final class CommandDelivery {
  /** Consecutive failures beyond this number do not extend the backoff any further. */
  private static final int MAX_BACKOFFS = 5;

  private boolean inFlight;
  private int consecutiveFailures;
  private double nextBatchAt = Double.NEGATIVE_INFINITY;
  private long fencingToken;
  private long confirmedToken;

  CommandDelivery(long firstFencingToken) {
    this.fencingToken = firstFencingToken;
  }

  /** Returns the fencing token of the messages to the worker. */
  long fencingToken() {
    return fencingToken;
  }

  /**
   * Sends all further messages with this fencing token, unless theirs is larger already. The token
   * must be reserved for this term or belong to an earlier one.
   */
  void raiseFencingToken(long token) {
    fencingToken = Math.max(fencingToken, token);
  }

  /**
   * Returns the largest fencing token that the worker has seen, according to its newest message. It
   * rejects messages with a smaller one.
   */
  long confirmedToken() {
    return confirmedToken;
  }

  /** Records the largest fencing token that the worker has seen, from its newest message. */
  void tokenConfirmed(long token) {
    confirmedToken = token;
    raiseFencingToken(token);
  }

  boolean isInFlight() {
    return inFlight;
  }

  boolean isReady(double now) {
    return !inFlight && !(now < nextBatchAt);
  }

  /** Returns whether it is not certain that the last completed batch reached the worker. */
  boolean isFailing() {
    return consecutiveFailures > 0;
  }

  void batchSent() {
    inFlight = true;
  }

  void batchCompleted() {
    inFlight = false;
  }

  /** Records that the worker has received the last batch. */
  void succeeded() {
    consecutiveFailures = 0;
  }

  /**
   * Records that the last batch may not have reached the worker.
   *
   * @param backoffS seconds that each consecutive failure adds to the delay before the next batch
   */
  void failed(double now, double backoffS) {
    consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFFS);
    nextBatchAt = now + backoffS * consecutiveFailures;
  }
}
