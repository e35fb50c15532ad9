package org.saffronshore.peer;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * When peers last responded or sent a message, and when the state service last responded to them by
 * their messages.
 */
public final class PeerReachability {
  /** A peer that left so many heartbeats without a response is not waited for. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /**
   * Beyond so many intervals the state service responded to a peer, and not to this controller, for
   * another reason than chance.
   */
  private static final int MIN_LEAD_INTERVALS = 2;

  private final EventLoop loop;
  private final boolean hasPeers;
  private final double intervalS;

  /** When any peer last responded to a message of this controller. */
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** When a peer last sent a message by itself. */
  private double lastMessageAt = Double.NEGATIVE_INFINITY;

  /** When each peer last responded; one that is not here may not have been sent anything yet. */
  private final Map<String, Double> lastResponseAtByPeer = new HashMap<>();

  /** When the state service last responded to each peer. */
  private final Map<String, Double> stateServiceAvailableAtByPeer = new HashMap<>();

  /** Begins without any response or message. */
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

  /** Records what a message or response says of its sender and the state service. */
  void recordStateServiceAvailability(PeerMessage message) {
    if (message.node() != null) {
      stateServiceAvailableAtByPeer.merge(
          message.node(), loop.now() - message.stateServiceAvailableAgoS(), Math::max);
    }
  }

  /** Whether a response of this peer is to be waited for: not when it has missed several. */
  boolean isResponseExpected(Peer peer) {
    return loop.now()
        < lastResponseAtByPeer.getOrDefault(peer.node(), Double.POSITIVE_INFINITY)
            + MAX_MISSED_HEARTBEATS * intervalS;
  }

  /** Whether there are peers, and none has responded for so many seconds. */
  public boolean isIsolated(double forS) {
    return hasPeers && loop.now() > lastResponseAt + forS;
  }

  /** Whether there are peers, and none has responded or sent a message for so many seconds. */
  public boolean isCutOff(double forS) {
    return isIsolated(forS) && loop.now() > lastMessageAt + forS;
  }

  /**
   * Whether the state service has responded to some peer since that moment, and for some time after
   * it.
   */
  public boolean stateServiceServedAnyPeerSince(double moment) {
    return stateServiceAvailableAtByPeer.values().stream()
        .anyMatch(availableAt -> availableAt > moment + MIN_LEAD_INTERVALS * intervalS);
  }
}
