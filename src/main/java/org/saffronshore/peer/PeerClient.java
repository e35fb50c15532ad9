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

  /** Sends by this client to the peers that the settings name. */
  public PeerClient(Client client, Settings settings) {
    this.client = client;
    this.peers = settings.peers();
  }

  List<Peer> peers() {
    return peers;
  }

  /**
   * Sends a message to one peer.
   *
   * @param receiver gets the response, or empty when there is none in time or none that can be read
   */
  void send(
      Peer peer,
      String path,
      byte[] message,
      double timeoutS,
      Consumer<Optional<PeerResponse>> receiver) {
    post(peer, path, message, timeoutS, response -> receiver.accept(parse(peer, response)));
  }

  void post(Peer peer, String path, byte[] body, double timeoutS, Response.Callback receiver) {
    client.send(peer.address(), "POST", path, body, timeoutS, receiver);
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
