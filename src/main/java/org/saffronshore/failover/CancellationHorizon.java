package org.saffronshore.failover;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;

/**
 * The time up to which a leader knows every cancellation that any controller has confirmed. Reading
 * the cancellations from the state service moves the horizon to the time at which the request was
 * sent. Beyond that, the horizon is the time up to which all peers have reported, without a gap,
 * the cancellations that they learned of, since a peer that does not respond, or that was restarted
 * in the meantime, may have confirmed more. All times are seconds on the event loop's clock.
 *
 * <p>The horizon limits how long the leader may keep tasks alive. A cancellation that the leader
 * does not know may have been confirmed right after the horizon, and its tasks must have ended
 * within the cancellation deadline from then. A response to a heartbeat, or a launch in an epoch
 * that has just begun, may let a task run for one more worker lease. Therefore no response and no
 * launch may be sent later than the horizon plus the cancellation deadline minus one worker lease.
 */
public final class CancellationHorizon {
  /**
   * The fraction of the cancellation deadline for which a read counts as fresh. It is several times
   * as long as a watch on the open jobs waits for a change.
   */
  private static final double FRESH_READ_FRACTION = 1.0 / 6;

  private final Settings settings;
  private final Map<String, Double> peerHorizons = new HashMap<>();
  private double readAt = Double.NEGATIVE_INFINITY;

  /** Creates a horizon at negative infinity: no cancellations are known yet. */
  public CancellationHorizon(Settings settings) {
    this.settings = settings;
  }

  /**
   * Records that all cancellations were read from the state service.
   *
   * @param requestedAt when the request was sent
   */
  public void recordRead(double requestedAt) {
    readAt = Math.max(readAt, requestedAt);
  }

  /**
   * Returns when the latest successful read of the state service was requested; negative infinity
   * before the first one.
   */
  double readAt() {
    return readAt;
  }

  /**
   * Records that a peer has reported the cancellations that it learned of. The report is ignored if
   * cancellations may be missing between what is already known, from the state service or from
   * earlier reports of this peer, and the start of the report.
   *
   * @param peer the peer's node name
   * @param requestedAt when the request to the peer was sent
   * @param completeSince the time since which the report misses no cancellation
   */
  public void recordPeerReport(String peer, double requestedAt, double completeSince) {
    if (completeSince
        <= Math.max(readAt, peerHorizons.getOrDefault(peer, Double.NEGATIVE_INFINITY))) {
      peerHorizons.merge(peer, requestedAt, Math::max);
    }
  }

  /** Returns the time before which every confirmed cancellation is known. */
  public double horizon() {
    double allPeersHorizon =
        settings.peers().stream()
            .mapToDouble(peer -> peerHorizons.getOrDefault(peer.node(), Double.NEGATIVE_INFINITY))
            .min()
            .orElse(Double.NEGATIVE_INFINITY);
    return Math.max(readAt, allPeersHorizon);
  }

  /**
   * Returns the time until which responses to heartbeats and launches may be sent. One heartbeat
   * interval is left as a margin for clock differences, late timers and machines that hang. If the
   * cancellation deadline is hardly longer than a worker lease, lease expiry cannot meet the
   * deadline; responses and launches then depend on fresh reads instead.
   */
  public double renewalsAllowedUntil() {
    double leaseExpiryAllowanceS =
        settings.cancellationDeadlineS()
            - Settings.maxLocalDuration(settings.workerLeaseS())
            - settings.heartbeatIntervalS();
    return horizon()
        + Math.max(settings.cancellationDeadlineS() * FRESH_READ_FRACTION, leaseExpiryAllowanceS);
  }
}
