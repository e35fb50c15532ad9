package org.saffronshore.peer;

import org.saffronshore.config.Settings;

/** Paths, content type and timing of the messages between controllers. */
final class PeerProtocol {
  static final String CONTENT_TYPE = "application/cbor";
  static final String HEARTBEAT_PATH = "/peer/hello";
  static final String VOTE_PATH = "/peer/vote";
  static final String WITHDRAWAL_PATH = "/peer/giveup";

  /**
   * The path of relayed heartbeats of workers. It accepts the JSON of the workers' protocol, while
   * all other paths accept a {@link PeerMessage}.
   */
  static final String RELAY_PATH = "/peer/report";

  private PeerProtocol() {}

  /** Returns the time between two heartbeats of a controller to its peers, in seconds. */
  static double heartbeatIntervalS(Settings settings) {
    return settings.heartbeatIntervalS() / 3;
  }
}
