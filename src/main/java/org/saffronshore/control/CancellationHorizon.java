package org.saffronshore.control;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;

/**
 * Up to which moment a leader surely knows every cancellation that any controller has confirmed.
 * That is so for what it has read of the state service, as of when it asked; and beyond that only
 * as far as every peer has told, without a break, what it learned of: a peer that is not heard, or
 * that was started anew since, may have confirmed more.
 *
 * <p>From this follows how long the leader may keep tasks alive. A cancellation that it does not
 * know may have been confirmed right after that moment, and the task must be gone a cancellation's
 * time later. An answer to a report, or a launch into a session that has just begun, may let a task
 * live for one lease more. So no answer and no launch may be sent later than the moment known, plus
 * the time of a cancellation, less a lease.
 */
final class CancellationHorizon {
  /** Several times as long as a watch on the jobs is held open. */
  private static final double FRESH = 1.0 / 6;

  private final Settings settings;
  private final Map<String, Double> peerHorizons = new HashMap<>();
  private double readAt = Double.NEGATIVE_INFINITY;

  CancellationHorizon(Settings settings) {
    this.settings = settings;
  }

  /** The state service has told of all cancellations; it was asked at that moment. */
  void recordRead(double askedAt) {
    readAt = Math.max(readAt, askedAt);
  }

  double readAt() {
    return readAt;
  }

  /**
   * A peer has told of every cancellation that it learned of since a moment, in answer to a
   * question of another. Worth something only if nothing is missing between that and what is known
   * already.
   */
  void recordPeerReport(String peer, double askedAt, double coveredSince) {
    if (coveredSince
        <= Math.max(readAt, peerHorizons.getOrDefault(peer, Double.NEGATIVE_INFINITY))) {
      peerHorizons.merge(peer, askedAt, Math::max);
    }
  }

  /** All that was confirmed before this moment is known. */
  double horizon() {
    double told =
        settings.peers().stream()
            .mapToDouble(p -> peerHorizons.getOrDefault(p.node(), Double.NEGATIVE_INFINITY))
            .min()
            .orElse(Double.NEGATIVE_INFINITY);
    return Math.max(readAt, told);
  }

  /**
   * Answers and launches may be sent until then; a report interval is left for clocks, timers and
   * machines that hang. Where a cancellation is given hardly more time than a lease, leases cannot
   * see to it, and reads must be fresh.
   */
  double renewalsAllowedUntil() {
    double leasesEnd =
        settings.cancellationDeadlineS()
            - Settings.maxLocalDuration(settings.workerLeaseS())
            - settings.heartbeatIntervalS();
    return horizon() + Math.max(settings.cancellationDeadlineS() * FRESH, leasesEnd);
  }
}
