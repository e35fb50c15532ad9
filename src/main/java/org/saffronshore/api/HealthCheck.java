package org.saffronshore.api;

import java.util.function.BooleanSupplier;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.state.StateServiceMonitor;
import org.saffronshore.wire.HealthResponse;

/**
 * Tells load balancers whether users should be sent to this controller.
 *
 * <p>A controller that alone is refused by the state service, or that reaches neither that nor any
 * peer, sends its users to the others. When the state service is unavailable to all, all stay: to
 * turn every user away at once, and to let them back in slowly, would only make an outage longer.
 * An outage reaches the controllers within moments of one another, so that a peer had a response a
 * little later than this controller says nothing.
 */
public final class HealthCheck {
  private static final int RETRY_AFTER_S = 1;

  private final BooleanSupplier machineTypesKnown;
  private final StateServiceMonitor stateService;
  private final PeerReachability peers;
  private final double maxPeerSilenceS;

  /**
   * @param machineTypesKnown whether submissions can be validated at all
   * @param maxPeerSilenceS without a message of any peer for so long this controller is cut off
   */
  public HealthCheck(
      BooleanSupplier machineTypesKnown,
      StateServiceMonitor stateService,
      PeerReachability peers,
      double maxPeerSilenceS) {
    this.machineTypesKnown = machineTypesKnown;
    this.stateService = stateService;
    this.peers = peers;
    this.maxPeerSilenceS = maxPeerSilenceS;
  }

  void handle(Request request, Responder responder) {
    if (!request.hasMethod("GET")) {
      responder.error(405, "GET only");
    } else if (isReady()) {
      responder.json(200, new HealthResponse().toJson());
    } else {
      responder.retryLater(503, "not ready", RETRY_AFTER_S);
    }
  }

  private boolean isReady() {
    return machineTypesKnown.getAsBoolean() && (stateService.isAvailable() || !isPeerPreferable());
  }

  /** Whether a peer may have the state service, or nothing at all is reached from here. */
  private boolean isPeerPreferable() {
    return peers.stateServiceServedAnyPeerSince(stateService.lastResponseAt())
        || peers.isCutOff(maxPeerSilenceS);
  }
}
