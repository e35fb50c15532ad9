package org.saffronshore.peer;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Sends heartbeats to the peers. Those of a leader hold the progress of its jobs, and ask for the
 * peers' leases and for what they know of cancellations.
 */
public final class PeerHeartbeats {

  /** Receives what peers know of cancellations. */
  @FunctionalInterface
  public interface CancellationListener {
    /**
     * A peer has responded to a heartbeat.
     *
     * @param term the term that this controller led when it sent the heartbeat
     * @param requestedAt when it sent the heartbeat
     * @param coveredSince since when no cancellation that the peer learned of is missing
     */
    void onCancellations(
        long term, String peer, double requestedAt, double coveredSince, List<String> jobs);
  }

  private final EventLoop loop;
  private final PeerClient peerClient;
  private final PeerMessageFactory messages;
  private final PeerReachability reachability;
  private final JobProgressCache jobProgress;
  private final PeerLeadership leadership;
  private final Supplier<Optional<TermProgress>> leaderProgress;
  private final CancellationListener cancellationListener;
  private final double intervalS;

  /**
   * @param leaderProgress the term and progress of this leader; empty while this controller may not
   *     act as one
   */
  public PeerHeartbeats(
      EventLoop loop,
      Settings settings,
      PeerClient peerClient,
      PeerMessageFactory messages,
      PeerReachability reachability,
      JobProgressCache jobProgress,
      PeerLeadership leadership,
      Supplier<Optional<TermProgress>> leaderProgress,
      CancellationListener cancellationListener) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.messages = messages;
    this.reachability = reachability;
    this.jobProgress = jobProgress;
    this.leadership = leadership;
    this.leaderProgress = leaderProgress;
    this.cancellationListener = cancellationListener;
    this.intervalS = PeerProtocol.heartbeatIntervalS(settings);
  }

  /** Begins to send. */
  public void start() {
    loop.scheduleWithFixedDelay(intervalS, this::sendToAll);
  }

  private void sendToAll() {
    PeerMessage heartbeat =
        leaderProgress.get().map(messages::forLeader).orElseGet(messages::create);
    byte[] body = heartbeat.toCbor();
    double sentAt = loop.now();
    long term = leadership.term();
    for (Peer peer : peerClient.peers()) {
      peerClient.send(
          peer,
          PeerProtocol.HEARTBEAT_PATH,
          body,
          intervalS * 2,
          response -> response.ifPresent(present -> handleResponse(peer, present, sentAt, term)));
    }
  }

  private void handleResponse(Peer peer, PeerResponse response, double sentAt, long term) {
    reachability.recordResponse(peer);
    reachability.recordStateServiceAvailability(response.sender());
    jobProgress.update(response.sender());
    if (response.leaseGranted() && term == leadership.term()) {
      leadership.recordGrant(peer.node(), sentAt);
    }
    PeerResponse.Cancellations known = response.cancellations();
    if (known != null) {
      double coveredSince = loop.now() - Settings.minLocalDuration(known.completeForS());
      cancellationListener.onCancellations(term, peer.node(), sentAt, coveredSince, known.jobs());
    }
  }
}
