package org.saffronshore.peer;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.Response;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends messages to the other controllers and reads their responses. */
public final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);

  private final Client client;
  private final List<Peer> peers;

  /** Creates a client for the peers in the settings. */
  public PeerClient(Client client, Settings settings) {
    this.client = client;
    this.peers = settings.peers();
  }

  List<Peer> peers() {
    return peers;
  }

  /**
   * Sends a message to a peer.
   *
   * @param callback receives the response; empty if the peer does not respond in time, responds
   *     with an error, or sends a malformed response
   */
  void send(
      Peer peer,
      String path,
      byte[] message,
      double timeoutS,
      Consumer<Optional<PeerResponse>> callback) {
    post(peer, path, message, timeoutS, response -> callback.accept(parse(peer, response)));
  }

  /** Sends a body to a peer, and hands the response to the callback as it is. */
  void post(Peer peer, String path, byte[] body, double timeoutS, Response.Callback callback) {
    client.send(peer.address(), "POST", path, body, timeoutS, callback);
  }

  private static Optional<PeerResponse> parse(Peer peer, Response response) {
    if (!response.isOk()) {
      return Optional.empty();
    }
    try {
      return Optional.of(PeerResponse.parse(response.body()));
    } catch (InvalidFieldException e) {
      LOG.warn("Malformed peer response: node={} reason={}", peer.node(), e.getMessage());
      return Optional.empty();
    }
  }
}
