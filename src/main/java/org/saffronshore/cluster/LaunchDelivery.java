package org.saffronshore.cluster;

/**
 * What a leader knows of the delivery of one attempt's launches: whether one was sent, whether its
 * outcome is known, and the largest fencing token of all of them.
 */
final class LaunchDelivery {
  /**
   * Whether a launch has been sent, by any leader. Becomes false again if it is certain that no
   * launch was executed or can still arrive.
   */
  private boolean sent;

  /** The number of launches sent in direct commands whose outcome is not known yet. */
  private int inFlight;

  /**
   * Whether a launch was sent whose arrival is unknown. Such a launch may still arrive, and is
   * executed if its fencing token and epoch match those of the worker.
   */
  private boolean outcomeUnknown;

  /** See {@link #largestToken()}. */
  private long largestToken;

  boolean isSent() {
    return sent;
  }

  /** Returns whether the outcome of a direct command with the launch is still to come. */
  boolean isInFlight() {
    return inFlight > 0;
  }

  /** Returns whether a launch was sent whose arrival is unknown. */
  boolean isOutcomeUnknown() {
    return outcomeUnknown;
  }

  /**
   * Returns whether a launch that was not answered may still reach the worker. While this is so,
   * the worker must not forget the attempt, since a late launch would start it again.
   */
  boolean mayArrive() {
    return outcomeUnknown || inFlight > 0;
  }

  /** Records that an earlier leader launched the attempt, since a worker has reported it. */
  void markAdopted() {
    sent = true;
  }

  /**
   * Returns the largest fencing token with which a launch of the attempt may have been sent in this
   * term; 0 if only earlier leaders launched it.
   */
  long largestToken() {
    return largestToken;
  }

  /** Records that a launch of the attempt was, or may have been, sent with a fencing token. */
  void sentWith(long fencingToken) {
    largestToken = Math.max(largestToken, fencingToken);
  }

  /** Records that the launch was sent in a direct command. */
  void sentDirectly() {
    sent = true;
    inFlight++;
  }

  /** Records that the launch is sent in a response to a heartbeat, whose arrival is unconfirmed. */
  void sentInResponse() {
    sent = true;
    outcomeUnknown = true;
  }

  /**
   * Records the outcome of a direct command with the launch.
   *
   * @param shown whether a status of the worker has shown the attempt
   * @return whether no launch of the attempt was executed or can still arrive, so that the launch
   *     now counts as not sent
   */
  boolean completed(DeliveryOutcome outcome, boolean shown) {
    inFlight--;
    if (outcome == DeliveryOutcome.UNKNOWN) {
      outcomeUnknown = true;
    }
    if (outcome == DeliveryOutcome.NOT_EXECUTED && !shown && !mayArrive()) {
      sent = false;
      return true;
    }
    return false;
  }
}
