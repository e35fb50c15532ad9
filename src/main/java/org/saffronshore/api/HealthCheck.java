package org.saffronshore.api;

import java.util.function.BooleanSupplier;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.state.StateServiceMonitor;
import org.saffronshore.wire.HealthResponse;

/**
 * Tells load balancers whether to send users to this controller.
 *
 * <p>This controller reports that it is not ready if the state service responds to peers but not to
 * it, or if it reaches neither the state service nor any peer. If the state service is unavailable
 * to all controllers, all remain ready: to turn away all users at once, and to readmit them slowly,
 * would only prolong the outage. An outage does not reach all controllers at the same instant, so a
 * response to a peer that is only a little later than the last one to this controller does not
 * count.
 */
public final class HealthCheck {
  private static final int RETRY_AFTER_S = 1;

  private final BooleanSupplier machineTypesKnown;
  private final StateServiceMonitor stateService;
  private final PeerReachability peerReachability;
  private final double maxPeerSilenceS;

  /**
   * Creates the health check of a controller.
   *
   * @param machineTypesKnown whether the machine types are known, without which no submission can
   *     be validated
   * @param maxPeerSilenceS the time without a response or message of any peer, in seconds, after
   *     which this controller counts as cut off
   */
  public HealthCheck(
      BooleanSupplier machineTypesKnown,
      StateServiceMonitor stateService,
      PeerReachability peerReachability,
      double maxPeerSilenceS) {
    this.machineTypesKnown = machineTypesKnown;
    this.stateService = stateService;
    this.peerReachability = peerReachability;
    this.maxPeerSilenceS = maxPeerSilenceS;
  }

  void handle(Request request, Responder responder) {
    if (!request.hasMethod("GET")) {
      responder.methodNotAllowed(request, "GET");
    } else if (isReady()) {
      responder.json(200, new HealthResponse().toJson());
    } else {
      responder.retryLater(503, "not ready", RETRY_AFTER_S);
    }
  }

  private boolean isReady() {
    return machineTypesKnown.getAsBoolean() && (stateService.isAvailable() || !isPeerPreferable());
  }

  /**
   * Returns whether users are better served by a peer: the state service last responded to a peer
   * clearly later than to this controller, or this controller is cut off from all peers.
   */
  private boolean isPeerPreferable() {
    return peerReachability.stateServiceServedAnyPeerSince(stateService.lastResponseAt())
        || peerReachability.isCutOff(maxPeerSilenceS);
  }
}
