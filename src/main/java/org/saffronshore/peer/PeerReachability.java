package org.saffronshore.peer;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Tracks when peers last responded or sent a message, and when the state service last responded to
 * them, as they report. All times are seconds on the event loop's clock.
 */
public final class PeerReachability {
  /** The number of intervals without a response after which a peer is not waited for. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /**
   * The number of intervals by which the state service's last response to a peer must be later than
   * that to this controller. A smaller difference may be due to chance.
   */
  private static final int MIN_LEAD_INTERVALS = 2;

  private final EventLoop loop;
  private final boolean hasPeers;
  private final double intervalS;

  /** The time at which any peer last responded to a message of this controller. */
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** The time at which any peer last sent a message of its own. */
  private double lastMessageAt = Double.NEGATIVE_INFINITY;

  /**
   * The time at which each peer last responded. A peer without an entry may not have been sent a
   * message yet.
   */
  private final Map<String, Double> lastResponseAtByPeer = new HashMap<>();

  /** The time at which the state service last responded to each peer. */
  private final Map<String, Double> stateServiceAvailableAtByPeer = new HashMap<>();

  /** Creates a tracker without any recorded response or message. */
  public PeerReachability(EventLoop loop, Settings settings) {
    this.loop = loop;
    this.hasPeers = !settings.peers().isEmpty();
    this.intervalS = PeerProtocol.heartbeatIntervalS(settings);
  }

  void recordResponse(Peer peer) {
    lastResponseAt = loop.now();
    lastResponseAtByPeer.put(peer.node(), lastResponseAt);
  }

  void recordMessage() {
    lastMessageAt = loop.now();
  }

  /** Records when the state service last responded to the sender of a message or response. */
  void recordStateServiceAvailability(PeerMessage message) {
    if (message.node() != null) {
      stateServiceAvailableAtByPeer.merge(
          message.node(), loop.now() - message.stateServiceAvailableAgoS(), Math::max);
    }
  }

  /**
   * Returns whether a candidate should wait for a response of the peer: the peer has responded
   * within the last {@link #MAX_MISSED_HEARTBEATS} intervals, or it has never responded, since it
   * may not have been sent a message yet.
   */
  boolean isResponseExpected(Peer peer) {
    return loop.now()
        < lastResponseAtByPeer.getOrDefault(peer.node(), Double.POSITIVE_INFINITY)
            + MAX_MISSED_HEARTBEATS * intervalS;
  }

  /** Returns whether there are peers, and none has responded for the given time in seconds. */
  public boolean isIsolated(double durationS) {
    return hasPeers && loop.now() > lastResponseAt + durationS;
  }

  /**
   * Returns whether there are peers, and none has responded or sent a message for the given time in
   * seconds.
   */
  public boolean isCutOff(double durationS) {
    return isIsolated(durationS) && loop.now() > lastMessageAt + durationS;
  }

  /**
   * Returns whether the state service has responded to any peer more than {@link
   * #MIN_LEAD_INTERVALS} intervals after the given time.
   */
  public boolean stateServiceServedAnyPeerSince(double time) {
    return stateServiceAvailableAtByPeer.values().stream()
        .anyMatch(availableAt -> availableAt > time + MIN_LEAD_INTERVALS * intervalS);
  }
}
