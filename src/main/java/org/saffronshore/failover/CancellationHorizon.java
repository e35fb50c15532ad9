package org.saffronshore.failover;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;

/**
 * The moment up to which a leader knows every cancellation that any controller has confirmed. That
 * is so for what it has read of the state service, as of the request; and beyond that only as far
 * as every peer has reported, without a gap, what it learned of: a peer that does not respond, or
 * that was restarted since, may have confirmed more.
 *
 * <p>From this follows how long the leader may keep tasks alive. A cancellation that it does not
 * know may have been confirmed right after the horizon, and the task must have ended within the
 * cancellation deadline from then. A response to a heartbeat, or a launch into an epoch that has
 * just begun, may let a task run for one worker lease more. So no response and no launch may be
 * sent later than the horizon, plus the cancellation deadline, less a worker lease.
 */
public final class CancellationHorizon {
  /**
   * The share of the cancellation deadline for which a read counts as fresh: several times as long
   * as a watch on the jobs is held open.
   */
  private static final double FRESH_READ_FRACTION = 1.0 / 6;

  private final Settings settings;
  private final Map<String, Double> peerHorizons = new HashMap<>();
  private double readAt = Double.NEGATIVE_INFINITY;

  /** Creates a horizon at negative infinity: nothing is known. */
  public CancellationHorizon(Settings settings) {
    this.settings = settings;
  }

  /** All cancellations were read from the state service, by a request of that moment. */
  public void recordRead(double requestedAt) {
    readAt = Math.max(readAt, requestedAt);
  }

  /** When the last request was sent whose response was read. */
  double readAt() {
    return readAt;
  }

  /**
   * A peer has reported every cancellation that it learned of. This counts only if there is no gap
   * to what is known already.
   *
   * @param requestedAt when the request to the peer was sent
   * @param completeSince since when nothing is missing in the report
   */
  public void recordPeerReport(String peer, double requestedAt, double completeSince) {
    if (completeSince
        <= Math.max(readAt, peerHorizons.getOrDefault(peer, Double.NEGATIVE_INFINITY))) {
      peerHorizons.merge(peer, requestedAt, Math::max);
    }
  }

  /** Every cancellation that was confirmed before this moment is known. */
  public double horizon() {
    double reportedByAll =
        settings.peers().stream()
            .mapToDouble(peer -> peerHorizons.getOrDefault(peer.node(), Double.NEGATIVE_INFINITY))
            .min()
            .orElse(Double.NEGATIVE_INFINITY);
    return Math.max(readAt, reportedByAll);
  }

  /**
   * Until when responses to heartbeats and launches may be sent. A heartbeat interval is left for
   * clocks, timers and machines that hang. Where the cancellation deadline is hardly longer than a
   * worker lease, the expiry of leases cannot meet it, and reads must be fresh.
   */
  public double renewalsAllowedUntil() {
    double afterLeaseExpiryS =
        settings.cancellationDeadlineS()
            - Settings.maxLocalDuration(settings.workerLeaseS())
            - settings.heartbeatIntervalS();
    return horizon()
        + Math.max(settings.cancellationDeadlineS() * FRESH_READ_FRACTION, afterLeaseExpiryS);
  }
}
