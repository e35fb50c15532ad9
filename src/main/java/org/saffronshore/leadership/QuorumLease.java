package org.saffronshore.leadership;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;

/**
 * The leases that the peers of a leader have granted it. While a quorum, the leader included,
 * grants them, it may act although the state service is unavailable. Each lease counts from when
 * its request was sent, and for less than its duration by what clocks may drift.
 */
final class QuorumLease {
  private final double leaseDurationS;
  private final Quorum quorum;

  /** When the latest request was sent that each peer granted. */
  private final Map<String, Double> latestGrantedRequestAt = new HashMap<>();

  QuorumLease(double leaseDurationS, Quorum quorum) {
    this.leaseDurationS = leaseDurationS;
    this.quorum = quorum;
  }

  /** A peer has granted its lease in response to a request that was sent at that moment. */
  void recordGrant(String peer, double requestedAt) {
    latestGrantedRequestAt.merge(peer, requestedAt, Math::max);
  }

  void clearGrants() {
    latestGrantedRequestAt.clear();
  }

  /** Until when the leases of a quorum last; this controller counts as one of them. */
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
