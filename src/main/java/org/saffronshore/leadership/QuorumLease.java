package org.saffronshore.leadership;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;

/**
 * The leases that the peers have granted to this leader. While a quorum that includes the leader
 * grants its leases, the leader may act even if the state service is unavailable. Each lease is
 * counted from when its request was sent, with its duration shortened by the possible clock drift.
 */
final class QuorumLease {
  private final double leaseDurationS;
  private final Quorum quorum;

  /** The times at which the latest granted requests were sent, by peer. */
  private final Map<String, Double> latestGrantedRequestAt = new HashMap<>();

  QuorumLease(double leaseDurationS, Quorum quorum) {
    this.leaseDurationS = leaseDurationS;
    this.quorum = quorum;
  }

  /**
   * Records that a peer has granted its lease.
   *
   * @param requestedAt when the granted request was sent, in seconds on the event loop's clock
   */
  void recordGrant(String peer, double requestedAt) {
    latestGrantedRequestAt.merge(peer, requestedAt, Math::max);
  }

  void clearGrants() {
    latestGrantedRequestAt.clear();
  }

  /**
   * Returns the time until which the leases of a quorum are valid, in seconds on the event loop's
   * clock; positive infinity if there are no peers, and negative infinity if too few peers have
   * granted their leases. This controller counts as a member of the quorum.
   */
  double validUntil() {
    int peersNeeded = quorum.size() - 1;
    if (peersNeeded == 0) {
      return Double.POSITIVE_INFINITY;
    }
    double[] starts =
        latestGrantedRequestAt.values().stream()
            .mapToDouble(Double::doubleValue)
            .sorted()
            .toArray();
    return starts.length < peersNeeded
        ? Double.NEGATIVE_INFINITY
        : starts[starts.length - peersNeeded] + Settings.minLocalDuration(leaseDurationS);
  }
}
