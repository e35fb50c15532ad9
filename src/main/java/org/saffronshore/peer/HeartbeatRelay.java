package org.saffronshore.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;

/** Relays the heartbeats of workers that cannot reach the leader. */
public final class HeartbeatRelay {
  private final PeerClient peerClient;
  private final double timeoutS;

  /** Creates a relay whose timeout is shorter than the time that a worker waits for a response. */
  public HeartbeatRelay(PeerClient peerClient, Settings settings) {
    this.peerClient = peerClient;
    this.timeoutS = settings.heartbeatIntervalS() * 2 / 3;
  }

  /**
   * Sends a worker's heartbeat to the leader.
   *
   * @param heartbeat the body as the worker sent it
   * @param callback receives the body of the leader's response; empty if the leader does not
   *     respond in time or responds with an error, or if it is not one of the peers
   */
  public void relay(String leaderNode, byte[] heartbeat, Consumer<Optional<byte[]>> callback) {
    for (Peer peer : peerClient.peers()) {
      if (peer.node().equals(leaderNode)) {
        peerClient.post(
            peer,
            PeerProtocol.RELAY_PATH,
            heartbeat,
            timeoutS,
            response ->
                callback.accept(response.isOk() ? Optional.of(response.body()) : Optional.empty()));
        return;
      }
    }
    callback.accept(Optional.empty());
  }
}
