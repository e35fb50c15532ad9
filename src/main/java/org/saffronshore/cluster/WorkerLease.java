package org.saffronshore.cluster;

/**
 * The times at which a worker may have renewed its lease, as known to this leader. A worker renews
 * its lease when it receives the response to a heartbeat.
 */
final class WorkerLease {
  /** Latest moment from which a renewal of the lease may count. */
  private double renewedAt;

  /** Value of {@link #renewedAt} before the heartbeat that is being processed. */
  private double previouslyRenewedAt = Double.NEGATIVE_INFINITY;

  private double firstRenewedAt = Double.NaN;

  /** Arrival time of the newest message, by epoch and sequence. */
  private double newestMessageAt = Double.NEGATIVE_INFINITY;

  /**
   * Records the arrival of a heartbeat whose response renews the lease. A heartbeat that is not the
   * newest message was sent before the newest message arrived. However late the heartbeat is, and
   * whether or not it is a copy, the response to it renews the lease from no later than the arrival
   * of the newest message. Copies therefore cannot extend a lease indefinitely.
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

  /** Records that the worker may hold a lease that was renewed at the given moment. */
  void recordPossibleRenewal(double moment) {
    renewedAt = Math.max(renewedAt, moment);
  }

  double renewedAt() {
    return renewedAt;
  }

  double previouslyRenewedAt() {
    return previouslyRenewedAt;
  }

  /** Returns when this leader first responded to a heartbeat of the worker; NaN before that. */
  double firstRenewedAt() {
    return firstRenewedAt;
  }
}
