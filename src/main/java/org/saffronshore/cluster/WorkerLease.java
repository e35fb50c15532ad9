package org.saffronshore.cluster;

/**
 * When the lease of a machine's worker may have been renewed, from this leader's point of view: the
 * worker renews it when it receives the response to its heartbeat.
 */
final class WorkerLease {
  /** The last moment at which the worker may have been sent a renewal. */
  private double renewedAt;

  /** The same before the heartbeat that is being processed. */
  private double previouslyRenewedAt = Double.NEGATIVE_INFINITY;

  private double firstRenewedAt = Double.NaN;

  /** When the newest message, in order of epoch and sequence, arrived. */
  private double newestMessageAt = Double.NEGATIVE_INFINITY;

  /**
   * A heartbeat has arrived whose response renews the lease. One that is not the newest message was
   * sent before that one arrived. However late it is, and whether it is a copy or not, the response
   * to it renews the lease for no longer than from then on: copies do not extend a lease for ever.
   */
  void heartbeatReceived(boolean newest, double now) {
    if (Double.isNaN(firstRenewedAt)) {
      firstRenewedAt = now;
    }
    previouslyRenewedAt = renewedAt;
    renewedAt = newest ? now : Math.max(renewedAt, newestMessageAt);
  }

  void newestMessageReceived(double now) {
    newestMessageAt = now;
  }

  /** The worker may hold a lease that was renewed at this moment. */
  void recordPossibleRenewal(double moment) {
    renewedAt = Math.max(renewedAt, moment);
  }

  double renewedAt() {
    return renewedAt;
  }

  double previouslyRenewedAt() {
    return previouslyRenewedAt;
  }

  /** When this leader first sent a response to a heartbeat; NaN as long as it has not. */
  double firstRenewedAt() {
    return firstRenewedAt;
  }
}
