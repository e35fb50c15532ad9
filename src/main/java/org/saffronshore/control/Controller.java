package org.saffronshore.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.IoEventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.saffronshore.admin.AdminApi;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.config.Settings;
import org.saffronshore.http.AdmissionQueue;
import org.saffronshore.http.Client;
import org.saffronshore.http.ConnectionLimit;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.HttpServer;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: everything it consists of, and the way of each request through it. */
public final class Controller implements Leadership.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  /**
   * So much of what the sockets could bring at once may wait in the ranks of users; more is told to
   * come again.
   */
  private static final double QUEUED_SHARE = 1.0 / 8;

  private final EventLoop loop;
  private final Settings settings;
  private final Client client;
  private final RandomGenerator random;
  private final Metrics metrics = new Metrics();
  private final QuotaMetrics teamMetrics;
  private final StateClient state;
  private final JobStore store;
  private final CloudClient cloud;
  private final Leadership leadership;
  private final PeerLink peers;
  private final UserApi users;
  private final AdminApi admin;
  private final AdmissionQueue admission;
  private final RedirectTracker redirects;
  private final MachineTypeCache types;
  private Leader leader;

  /** Builds a controller; nothing runs before {@link #start}. */
  public Controller(EventLoop loop, Settings settings, Client client, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.client = client;
    this.random = random;
    this.state = new StateClient(loop, client, settings);
    this.store = new JobStore(loop, state, settings);
    store.onCancelled(
        id -> {
          if (leader != null) {
            leader.jobCancelled(id);
          }
        });
    this.cloud = new CloudClient(loop, client, settings);
    this.peers = new PeerLink(this);
    this.leadership = new Leadership(loop, state, settings, random, this, peers);
    this.types =
        new MachineTypeCache(
            this,
            now -> {
              if (leader != null) {
                leader.cluster().machineTypes(now);
              }
            });
    this.users = new UserApi(loop, settings, store, metrics, types::machineTypes, this::progress);
    this.admin = new AdminApi(state, metrics, settings.teams().keySet(), this::status);
    int queued = Math.max(8, (int) (settings.maxSockets() * QUEUED_SHARE));
    this.admission =
        new AdmissionQueue(
            loop,
            Map.of(
                AdmissionQueue.RequestClass.HEARTBEAT,
                settings.maxSockets(),
                AdmissionQueue.RequestClass.DECISION,
                queued,
                AdmissionQueue.RequestClass.SUBMISSION,
                queued));
    this.redirects = new RedirectTracker(loop, settings.heartbeatIntervalS());
    this.teamMetrics = new QuotaMetrics(metrics, settings.teams().keySet());
    metrics.gauge("leading", () -> leadership.isActive() ? 1 : 0);
    metrics.gauge("term", leadership::term);
    metrics.gauge("machines", () -> leader == null ? 0 : leader.cluster().machines().size());
    metrics.gauge("open_jobs", () -> leader == null ? 0 : leader.cluster().jobs().size());
    metrics.gauge(
        "jobs_waiting_for_others",
        () -> leader == null ? 0 : leader.cluster().dependencies().waitingCount());
  }

  EventLoop loop() {
    return loop;
  }

  Settings settings() {
    return settings;
  }

  Client client() {
    return client;
  }

  RandomGenerator random() {
    return random;
  }

  Metrics metrics() {
    return metrics;
  }

  QuotaMetrics teamMetrics() {
    return teamMetrics;
  }

  PeerLink peers() {
    return peers;
  }

  StateClient state() {
    return state;
  }

  JobStore store() {
    return store;
  }

  CloudClient cloud() {
    return cloud;
  }

  Leadership leadership() {
    return leadership;
  }

  /**
   * Starts everything but the servers; what is needed from outside is fetched in the background.
   */
  public void start() {
    leadership.start();
    peers.start();
    types.start();
    loop.scheduleWithFixedDelay(settings.heartbeatIntervalS() / 3, this::probeState);
    watchLoop();
  }

  /** Opens both addresses. Users and workers share one, peers and operators the other. */
  public void serve(IoEventLoopGroup group) throws InterruptedException {
    int sockets = settings.maxSockets();
    new HttpServer(this::handle, new ConnectionLimit(Math.max(8, sockets * 3 / 4)))
        .start(group, settings.listenAddress());
    new HttpServer(this::handlePeer, new ConnectionLimit(Math.max(8, sockets / 20)))
        .start(group, settings.peerListenAddress());
  }

  private void watchLoop() {
    double due = loop.now() + settings.heartbeatIntervalS() / 10;
    loop.schedule(
        settings.heartbeatIntervalS() / 10,
        () -> {
          metrics.recordLatency(Metrics.Latency.LOOP, loop.now() - due);
          watchLoop();
        });
  }

  // Requests

  /** Handles a request of a user, a worker or a health check. */
  public void handle(Request request, Responder reply) {
    String path = request.path();
    if (path.equals("/v1/report")) {
      on(
          "POST",
          request,
          reply,
          AdmissionQueue.RequestClass.HEARTBEAT,
          () -> handleHeartbeat(request, reply));
    } else if (path.equals("/healthz")) {
      health(request, reply);
    } else if (path.equals("/work")) {
      on(
          "POST",
          request,
          reply,
          AdmissionQueue.RequestClass.SUBMISSION,
          () -> users.submit(request, reply));
    } else if (path.startsWith("/work/")) {
      String rest = path.substring("/work/".length());
      if (rest.endsWith("/cancel")) {
        on(
            "POST",
            request,
            reply,
            AdmissionQueue.RequestClass.DECISION,
            () -> users.cancel(rest.substring(0, rest.length() - "/cancel".length()), reply));
      } else if (rest.isEmpty() || rest.indexOf('/') >= 0) {
        reply.error(404, "no such path");
      } else {
        on(
            "GET",
            request,
            reply,
            AdmissionQueue.RequestClass.DECISION,
            () -> users.poll(rest, reply));
      }
    } else {
      reply.error(404, "no such path");
    }
  }

  private void on(
      String method,
      Request request,
      Responder reply,
      AdmissionQueue.RequestClass rank,
      Runnable work) {
    if (!request.hasMethod(method)) {
      reply.error(405, method + " only");
    } else if (!admission.offer(
        rank,
        () -> {
          if (reply.isConnected()) {
            work.run();
          }
        })) {
      users.respondBusy(reply);
    }
  }

  /** Handles a request on the peers' address: of another controller or of an operator. */
  public void handlePeer(Request request, Responder reply) {
    if (!peers.handle(request, reply) && !admin.handle(request, reply)) {
      reply.error(404, "no such path");
    }
  }

  /**
   * A node that alone is refused by the state service, or that reaches neither that nor any peer,
   * sends its users to the others. When nobody is served, all stay: to turn every user away at
   * once, and to be let back in slowly, would only make an outage longer. An outage reaches the
   * nodes within moments of one another, so that a peer was served a little later than this node
   * says nothing.
   */
  private void health(Request request, Responder reply) {
    if (!request.hasMethod("GET")) {
      reply.error(405, "GET only");
    } else if (types.machineTypes().isEmpty()
        || (!isStateServiceAvailable()
            && (peers.anyPeerServedSince(state.lastResponseAt())
                || peers.isCutOff(settings.heartbeatIntervalS())))) {
      reply.retryLater(503, "not ready", 1);
    } else {
      reply.json(200, Json.object().put("ok", true));
    }
  }

  /** Whether the state service served this node a moment ago. */
  boolean isStateServiceAvailable() {
    return loop.now() - state.lastResponseAt() < settings.heartbeatIntervalS();
  }

  private void probeState() {
    if (loop.now() - state.lastResponseAt() > settings.heartbeatIntervalS() / 3) {
      state.get(Keys.TERM, true, answer -> {});
    }
  }

  private void handleHeartbeat(Request request, Responder reply) {
    metrics.increment(Metrics.Counter.REPORTS, 1);
    double began = loop.now();
    Heartbeat report = parsed(request, reply);
    if (report == null) {
      return;
    }
    byte[] answer = leader == null ? null : leader.handleHeartbeat(report);
    if (answer != null) {
      metrics.recordLatency(Metrics.Latency.REPORT, loop.now() - began);
      reply.send(200, Responder.CONTENT_TYPE_JSON, answer, 0);
      return;
    }
    String to = leadership.leaderNode();
    if (to != null && redirects.shouldRelay(report.machine(), to)) {
      peers.relay(
          to,
          request.body(),
          relayed -> {
            if (relayed == null) {
              redirect(reply, null);
            } else {
              metrics.increment(Metrics.Counter.RELAYED, 1);
              redirects.recordRelayed(report.machine(), to);
              reply.send(200, Responder.CONTENT_TYPE_JSON, relayed, 0);
            }
          });
    } else {
      redirect(reply, to);
    }
  }

  private void redirect(Responder reply, String to) {
    metrics.increment(Metrics.Counter.REDIRECTED, 1);
    ObjectNode redirect = Json.object();
    if (to != null && !to.equals(settings.node())) {
      redirect.put("Dispatcher", to);
    }
    reply.json(421, redirect);
  }

  private static Heartbeat parsed(Request request, Responder reply) {
    try {
      return Heartbeat.parse(request.body());
    } catch (InvalidFieldException e) {
      LOG.warn("a worker's report is malformed: {}", e.getMessage());
      reply.error(400, e.getMessage());
      return null;
    }
  }

  /**
   * The answer to a report that a peer relays, or null when this node cannot answer for the
   * controllers.
   */
  byte[] relayedHeartbeatResponse(Request request, Responder reply) {
    Heartbeat report = parsed(request, reply);
    return report == null || leader == null ? null : leader.handleHeartbeat(report);
  }

  // Leading

  /** The leader's part of this node while it may act, or null. */
  Leader activeLeader() {
    return leader != null && leader.term().isActive() ? leader : null;
  }

  /** What a peer learned of cancellations, in answer to a question of the leader of that term. */
  void peerReportedCancellations(
      long term, String peer, double askedAt, double coveredSince, List<String> jobs) {
    if (leader != null && leadership.term() == term) {
      leader.peerReportedCancellations(peer, askedAt, coveredSince, jobs);
    }
  }

  private JobProgress progress(String job) {
    Leader isActive = activeLeader();
    return isActive != null ? isActive.progress(job) : peers.progress(job);
  }

  @Override
  public void onElected(long term, long keyVersion) {
    metrics.increment(Metrics.Counter.TERMS, 1);
    state.setLeading(true);
    leader = new Leader(this, term, keyVersion);
    leader.cluster().machineTypes(types.machineTypes());
    leader.start();
    types.persist();
  }

  @Override
  public void onDeposed(String why) {
    state.setLeading(false);
    if (leader != null) {
      leader.end();
      leader = null;
    }
  }

  private ObjectNode status() {
    ObjectNode o =
        Json.object()
            .put("node", settings.node())
            .put("leading", leadership.isActive())
            .put("leader", leadership.leaderNode())
            .put("term", leadership.term())
            .put("state_serves", isStateServiceAvailable());
    if (leader != null) {
      o.put("open_jobs", leader.cluster().jobs().size())
          .put("machines", leader.cluster().machines().size())
          .put("machines_unaccounted", leader.cluster().unreconciledCount())
          .put("jobs_waiting_for_others", leader.cluster().dependencies().waitingCount());
    }
    return o;
  }
}
