package org.saffronshore.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;

/** Relays heartbeats of workers that cannot reach the leader. */
public final class HeartbeatRelay {
  private final PeerClient peerClient;
  private final double timeoutS;

  /** Gives the leader less time than a worker waits. */
  public HeartbeatRelay(PeerClient peerClient, Settings settings) {
    this.peerClient = peerClient;
    this.timeoutS = settings.heartbeatIntervalS() * 2 / 3;
  }

  /**
   * Sends a heartbeat to the leader.
   *
   * @param heartbeat the body as the worker sent it
   * @param receiver gets the body of the leader's response; empty when there is none in time, or
   *     when the leader is not among the peers
   */
  public void relay(String leaderNode, byte[] heartbeat, Consumer<Optional<byte[]>> receiver) {
    for (Peer peer : peerClient.peers()) {
      if (peer.node().equals(leaderNode)) {
        peerClient.post(
            peer,
            PeerProtocol.RELAY_PATH,
            heartbeat,
            timeoutS,
            response ->
                receiver.accept(response.ok() ? Optional.of(response.body()) : Optional.empty()));
        return;
      }
    }
    receiver.accept(Optional.empty());
  }
}
