package org.saffronshore.peer;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Sends heartbeats to the peers periodically. The heartbeats of a leader contain the progress of
 * its jobs, and request the peers' leases and the cancellations that the peers know of.
 */
public final class PeerHeartbeats {

  /** Receives the cancellations that peers know of. */
  @FunctionalInterface
  public interface CancellationListener {
    /**
     * Called when a peer has reported cancellations in its response to a heartbeat.
     *
     * @param term the latest term that this controller had led when it sent the heartbeat
     * @param peer the peer's node name
     * @param requestedAt when this controller sent the heartbeat, in seconds on the event loop's
     *     clock
     * @param completeSince the time since which no cancellation that the peer learned of is missing
     *     in the report, in seconds on the event loop's clock
     * @param jobs the ids of the cancelled jobs
     */
    void onCancellations(
        long term, String peer, double requestedAt, double completeSince, List<String> jobs);
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
   * Creates the heartbeats of this controller; nothing is sent before {@link #start}.
   *
   * @param leaderProgress supplies the term that this controller leads and the progress of its
   *     jobs; empty while it may not act as leader
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

  /** Starts sending heartbeats. */
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
      double completeSince = loop.now() - Settings.minLocalDuration(known.completeForS());
      cancellationListener.onCancellations(term, peer.node(), sentAt, completeSince, known.jobs());
    }
  }
}
