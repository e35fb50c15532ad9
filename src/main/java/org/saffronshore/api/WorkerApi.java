package org.saffronshore.api;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.saffronshore.admin.Metrics;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.peer.HeartbeatRelay;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.RedirectResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles heartbeats of workers. The leader responds to them; any other controller redirects the
 * worker to the leader, or relays the heartbeat to the leader if the worker cannot reach it.
 */
public final class WorkerApi {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerApi.class);

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  /** The status that workers understand as a redirect to another controller. */
  private static final int MISDIRECTED_REQUEST = 421;

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int RETRY_AFTER_S = 1;

  /**
   * Handles heartbeats as the leader, if this process is the leader. There is one call per
   * heartbeat, so a missing response is null instead of an Optional, which would be allocated.
   */
  @FunctionalInterface
  public interface HeartbeatHandler {
    /** Returns the body of the response, or null if this process may not respond as the leader. */
    byte @Nullable [] handle(Heartbeat heartbeat);
  }

  /** Locates the leader. */
  @FunctionalInterface
  public interface LeaderLocator {
    /** Returns the node name of the leader, or null while none is known. */
    @Nullable String leaderNode();
  }

  private final EventLoop loop;
  private final String node;
  private final Metrics metrics;
  private final HeartbeatHandler leader;
  private final LeaderLocator leaderLocator;
  private final RedirectTracker redirects;
  private final HeartbeatRelay relay;

  /**
   * Creates the API of a controller.
   *
   * @param node the node name of this controller
   */
  public WorkerApi(
      EventLoop loop,
      String node,
      Metrics metrics,
      HeartbeatHandler leader,
      LeaderLocator leaderLocator,
      RedirectTracker redirects,
      HeartbeatRelay relay) {
    this.loop = loop;
    this.node = node;
    this.metrics = metrics;
    this.leader = leader;
    this.leaderLocator = leaderLocator;
    this.redirects = redirects;
    this.relay = relay;
  }

  /** Handles a heartbeat that a worker sent to this controller. */
  void handleHeartbeat(Request request, Responder responder) {
    metrics.increment(Metrics.Counter.HEARTBEATS, 1);
    double receivedAt = loop.now();
    Heartbeat heartbeat = parse(request, responder);
    if (heartbeat == null) {
      return;
    }
    byte[] response = leader.handle(heartbeat);
    if (response != null) {
      metrics.recordLatency(Metrics.Latency.HEARTBEAT, loop.now() - receivedAt);
      responder.send(OK, Responder.CONTENT_TYPE_JSON, response, 0);
      return;
    }
    String leaderNode = leaderLocator.leaderNode();
    if (leaderNode != null && redirects.shouldRelay(heartbeat.machine(), leaderNode)) {
      relay.relay(
          leaderNode,
          Objects.requireNonNull(request.body(), "body of a parsed heartbeat"),
          relayed -> respondRelayed(heartbeat.machine(), leaderNode, relayed, responder));
    } else {
      redirect(leaderNode, responder);
    }
  }

  private void respondRelayed(
      String machine, String leaderNode, Optional<byte[]> response, Responder responder) {
    if (response.isEmpty()) {
      redirect(null, responder);
      return;
    }
    metrics.increment(Metrics.Counter.HEARTBEATS_RELAYED, 1);
    redirects.recordRelayed(machine, leaderNode);
    responder.send(OK, Responder.CONTENT_TYPE_JSON, response.get(), 0);
  }

  /** Handles a heartbeat relayed by a peer that considers this controller the leader. */
  public void handleRelayedHeartbeat(Request request, Responder responder) {
    Heartbeat heartbeat = parse(request, responder);
    if (heartbeat == null) {
      return;
    }
    byte[] response = leader.handle(heartbeat);
    if (response == null) {
      responder.retryLater(SERVICE_UNAVAILABLE, "not the leader", RETRY_AFTER_S);
    } else {
      responder.send(OK, Responder.CONTENT_TYPE_JSON, response, 0);
    }
  }

  private void redirect(@Nullable String leaderNode, Responder responder) {
    metrics.increment(Metrics.Counter.HEARTBEATS_REDIRECTED, 1);
    // This controller cannot respond as the leader, so a redirect to itself would only bring the
    // worker back.
    String target = node.equals(leaderNode) ? null : leaderNode;
    responder.json(MISDIRECTED_REQUEST, new RedirectResponse(target).toJson());
  }

  /**
   * Returns the heartbeat in the body. If it is malformed, sends an error response and returns
   * null.
   */
  private static @Nullable Heartbeat parse(Request request, Responder responder) {
    try {
      return Heartbeat.parse(request.body());
    } catch (InvalidFieldException e) {
      LOG.warn("Malformed heartbeat: reason={}", e.getMessage());
      responder.error(BAD_REQUEST, e.getMessage());
      return null;
    }
  }
}
