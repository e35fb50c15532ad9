package org.saffronshore.peer;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.leadership.ControllerProcess;
import org.saffronshore.leadership.LeaseRequest;
import org.saffronshore.state.StateServiceMonitor;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the messages of other controllers and the heartbeats of workers that they relay. */
public final class PeerRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(PeerRequestHandler.class);

  private final PeerMessageFactory messages;
  private final PeerReachability reachability;
  private final JobProgressCache jobProgress;
  private final PeerLeadership leadership;
  private final StateServiceMonitor stateService;
  private final Supplier<PeerResponse.Cancellations> knownCancellations;
  private final BiConsumer<Request, Responder> relayedHeartbeatHandler;
  private final OutdatedMessageDetector outdatedMessages;

  /**
   * Creates the handler of this process.
   *
   * @param knownCancellations supplies the cancellations that this process knows of. The state
   *     service may refuse the leader but serve this controller. With this list, the leader stops
   *     the tasks of cancelled jobs at once, and may renew the leases of other tasks in an outage
   *     as long as no cancellation is missing
   * @param relayedHeartbeatHandler handles the heartbeats of workers that peers relay
   */
  public PeerRequestHandler(
      Settings settings,
      PeerMessageFactory messages,
      PeerReachability reachability,
      JobProgressCache jobProgress,
      PeerLeadership leadership,
      StateServiceMonitor stateService,
      Supplier<PeerResponse.Cancellations> knownCancellations,
      BiConsumer<Request, Responder> relayedHeartbeatHandler) {
    this.messages = messages;
    this.reachability = reachability;
    this.jobProgress = jobProgress;
    this.leadership = leadership;
    this.stateService = stateService;
    this.knownCancellations = knownCancellations;
    this.relayedHeartbeatHandler = relayedHeartbeatHandler;
    this.outdatedMessages = new OutdatedMessageDetector(settings.controllerCount());
  }

  /**
   * Handles a request of a peer.
   *
   * @return false if the path is not one of the protocol between controllers; the request is then
   *     not handled
   */
  public boolean handle(Request request, Responder responder) {
    switch (request.path()) {
      case PeerProtocol.RELAY_PATH -> relayedHeartbeatHandler.accept(request, responder);
      case PeerProtocol.HEARTBEAT_PATH, PeerProtocol.VOTE_PATH, PeerProtocol.WITHDRAWAL_PATH ->
          handleMessage(request, responder);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void handleMessage(Request request, Responder responder) {
    PeerMessage message;
    try {
      message = PeerMessage.parse(request.hasMethod("POST") ? request.body() : null);
    } catch (InvalidFieldException e) {
      LOG.warn("Malformed peer message: path={} reason={}", request.path(), e.getMessage());
      responder.error(400, e.getMessage());
      return;
    }
    reachability.recordMessage();
    byte[] response = respond(request.path(), message).toCbor();
    responder.send(200, PeerProtocol.CONTENT_TYPE, response, 0);
  }

  private PeerResponse respond(String path, PeerMessage message) {
    PeerMessage self = messages.create();
    if (outdatedMessages.isOutdated(message)) {
      return new PeerResponse(self, false, null);
    }
    return switch (path) {
      case PeerProtocol.WITHDRAWAL_PATH -> respondToWithdrawal(message, self);
      case PeerProtocol.VOTE_PATH ->
          new PeerResponse(self, tryGrantLease(message, LeaseRequest.Role.CANDIDATE), null);
      default -> respondToHeartbeat(message, self);
    };
  }

  private PeerResponse respondToWithdrawal(PeerMessage message, PeerMessage self) {
    leadership.recordWithdrawal(sender(message), message.term());
    return new PeerResponse(self, false, null);
  }

  private PeerResponse respondToHeartbeat(PeerMessage message, PeerMessage self) {
    reachability.recordStateServiceAvailability(message);
    jobProgress.update(message);
    boolean granted = tryGrantLease(message, LeaseRequest.Role.LEADER);
    boolean fromLeader = message.term() != PeerMessage.NO_TERM;
    return new PeerResponse(self, granted, fromLeader ? knownCancellations.get() : null);
  }

  private boolean tryGrantLease(PeerMessage message, LeaseRequest.Role role) {
    if (message.term() == PeerMessage.NO_TERM) {
      return false;
    }
    LeaseRequest request =
        new LeaseRequest(sender(message), message.term(), role, message.stateServiceAvailable());
    return leadership.grantLease(request, stateService.isAvailable());
  }

  private static ControllerProcess sender(PeerMessage message) {
    return new ControllerProcess(message.senderNode(), message.senderIncarnation());
  }
}
