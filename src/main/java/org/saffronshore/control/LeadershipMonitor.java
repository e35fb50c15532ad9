package org.saffronshore.control;

import java.util.function.DoubleSupplier;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.state.StateClient;

/** Steps down, or yields the leadership, when another controller can lead better than this one. */
@NullMarked
final class LeadershipMonitor {
  private final EventLoop loop;
  private final StateClient state;
  private final PeerReachability peerReachability;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final DoubleSupplier cancellationsReadAt;
  private final double heartbeatIntervalS;
  private final double maxCancellationsAgeS;
  private final double startedAt;
  private double lastWithoutStoreLeaseAt = Double.NEGATIVE_INFINITY;
  private double onlyPeersServedSince = Double.POSITIVE_INFINITY;

  /**
   * Creates the monitor of a term that begins now.
   *
   * @param cancellationsReadAt returns when the latest successful read of all cancellations from
   *     the state service was requested, in seconds on the event loop's clock
   */
  LeadershipMonitor(
      EventLoop loop,
      Settings settings,
      StateClient state,
      PeerReachability peerReachability,
      LeaderTerm term,
      Cluster cluster,
      DoubleSupplier cancellationsReadAt) {
    this.loop = loop;
    this.state = state;
    this.peerReachability = peerReachability;
    this.term = term;
    this.cluster = cluster;
    this.cancellationsReadAt = cancellationsReadAt;
    this.heartbeatIntervalS = settings.heartbeatIntervalS();
    this.maxCancellationsAgeS = settings.cancellationDeadlineS() / 3;
    this.startedAt = loop.now();
  }

  /**
   * Checks the state service periodically until the term ends, even while this leader is inactive.
   */
  void start() {
    loop.schedule(heartbeatIntervalS / 12, this::checkStateService);
  }

  private void checkStateService() {
    if (term.hasEnded()) {
      return;
    }
    if (!term.holdsStoreLease()) {
      // After an outage, the lease is renewed shortly before the jobs can be read. The deadline
      // for reading them therefore starts when the lease is held again.
      lastWithoutStoreLeaseAt = loop.now();
    }
    double readableSince = Math.max(startedAt, lastWithoutStoreLeaseAt);
    if (loop.now()
        > Math.max(readableSince, cancellationsReadAt.getAsDouble()) + maxCancellationsAgeS) {
      term.stepDown("cancellations could not be read from the state service in time");
    } else if (isStoreLeaseLostOnlyHere()) {
      term.stepDown("the state service responds to peers but not to this controller");
    } else {
      start();
    }
  }

  /**
   * Returns whether this controller has lost its store lease while the state service responds to
   * peers. The leases of peers are meant for outages that affect all controllers; to continue
   * leading by them would only delay a successor. Shortly after an outage, the state service may
   * respond to peers slightly earlier than to the leader, so the condition must hold for several
   * attempts of the leader.
   */
  private boolean isStoreLeaseLostOnlyHere() {
    double now = loop.now();
    onlyPeersServedSince =
        peerReachability.stateServiceServedAnyPeerSince(state.lastResponseAt())
            ? Math.min(onlyPeersServedSince, now)
            : Double.POSITIVE_INFINITY;
    return !term.holdsStoreLease() && now > onlyPeersServedSince + heartbeatIntervalS / 4;
  }

  /**
   * Yields the leadership if no peer responds to this controller and most machines are silent.
   *
   * @return whether the leadership was yielded
   */
  boolean yieldIfIsolated() {
    boolean isolated =
        peerReachability.isIsolated(heartbeatIntervalS)
            && cluster.isMostlySilent(2 * heartbeatIntervalS);
    if (isolated) {
      term.yieldLeadership("no responses from peers and no heartbeats from most machines");
    }
    return isolated;
  }
}
