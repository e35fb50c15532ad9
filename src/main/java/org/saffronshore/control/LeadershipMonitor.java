package org.saffronshore.control;

import java.util.function.DoubleSupplier;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.state.StateClient;

/** Steps down where another controller could do more with the leadership than this one. */
@NullMarked
final class LeadershipMonitor {
  private final EventLoop loop;
  private final StateClient state;
  private final PeerReachability peers;
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
   * @param cancellationsReadAt as of when all cancellations were read from the state service
   */
  LeadershipMonitor(
      EventLoop loop,
      Settings settings,
      StateClient state,
      PeerReachability peers,
      LeaderTerm term,
      Cluster cluster,
      DoubleSupplier cancellationsReadAt) {
    this.loop = loop;
    this.state = state;
    this.peers = peers;
    this.term = term;
    this.cluster = cluster;
    this.cancellationsReadAt = cancellationsReadAt;
    this.heartbeatIntervalS = settings.heartbeatIntervalS();
    this.maxCancellationsAgeS = settings.cancellationDeadlineS() / 3;
    this.startedAt = loop.now();
  }

  /** Checks the state service for as long as the term lasts, also while it is not active. */
  void start() {
    loop.schedule(heartbeatIntervalS / 12, this::checkStateService);
  }

  private void checkStateService() {
    if (term.hasEnded()) {
      return;
    }
    if (!term.holdsStoreLease()) {
      // After an outage the lease is renewed before the jobs can have been read: that takes a
      // moment.
      lastWithoutStoreLeaseAt = loop.now();
    }
    double readableSince = Math.max(startedAt, lastWithoutStoreLeaseAt);
    if (loop.now()
        > Math.max(readableSince, cancellationsReadAt.getAsDouble()) + maxCancellationsAgeS) {
      term.stepDown("cancellations cannot be read");
    } else if (isStoreLeaseLostOnlyHere()) {
      term.stepDown("the state service serves its peers, and not it");
    } else {
      start();
    }
  }

  /**
   * Whether the store lease is over while the state service serves others. The leases of peers are
   * for an outage that all share; to go on with it here would only keep a successor waiting. Just
   * after an outage some are served a moment before the leader is, so this must last for several of
   * its tries.
   */
  private boolean isStoreLeaseLostOnlyHere() {
    double now = loop.now();
    onlyPeersServedSince =
        peers.stateServiceServedAnyPeerSince(state.lastResponseAt())
            ? Math.min(onlyPeersServedSince, now)
            : Double.POSITIVE_INFINITY;
    return !term.holdsStoreLease() && now > onlyPeersServedSince + heartbeatIntervalS / 4;
  }

  /**
   * Yields the leadership if this controller hears neither its peers nor most machines.
   *
   * @return whether it did
   */
  boolean yieldIfIsolated() {
    boolean isolated =
        peers.isIsolated(heartbeatIntervalS) && cluster.isMostlySilent(2 * heartbeatIntervalS);
    if (isolated) {
      term.yieldLeadership("it hears neither its peers nor most machines");
    }
    return isolated;
  }
}
