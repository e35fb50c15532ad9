package org.saffronshore.control;

import io.netty.channel.IoEventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.saffronshore.admin.AdminApi;
import org.saffronshore.admin.ControllerStatus;
import org.saffronshore.admin.Metrics;
import org.saffronshore.api.HealthCheck;
import org.saffronshore.api.RedirectTracker;
import org.saffronshore.api.RequestRouter;
import org.saffronshore.api.UserApi;
import org.saffronshore.api.WorkerApi;
import org.saffronshore.autoscaling.MachineTypeCache;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.ConnectionLimit;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.HttpServer;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.leadership.PeerVoting;
import org.saffronshore.peer.HeartbeatRelay;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.peer.JobProgressCache;
import org.saffronshore.peer.PeerClient;
import org.saffronshore.peer.PeerHeartbeats;
import org.saffronshore.peer.PeerLeadership;
import org.saffronshore.peer.PeerMessageFactory;
import org.saffronshore.peer.PeerReachability;
import org.saffronshore.peer.PeerRequestHandler;
import org.saffronshore.peer.PeerResponse;
import org.saffronshore.peer.PeerVotingClient;
import org.saffronshore.peer.TermProgress;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.StateServiceMonitor;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.MachineType;

/** One controller process: creates its components, wires them and starts them. */
public final class Controller implements Leadership.Listener {
  /** The minimum number of connections that each address accepts, even if there are few sockets. */
  private static final int MIN_CONNECTIONS = 8;

  private final EventLoop loop;
  private final Settings settings;
  private final Client client;
  private final RandomGenerator random;
  private final Metrics metrics = new Metrics();
  private final QuotaMetrics quotaMetrics;
  private final StateClient state;
  private final StateServiceMonitor stateMonitor;
  private final JobStore store;
  private final CloudClient cloud;
  private final Leadership leadership;
  private final PeerReachability peerReachability;
  private final JobProgressCache jobProgress = new JobProgressCache();
  private final PeerVotingClient peerVoting;
  private final PeerHeartbeats peerHeartbeats;
  private final PeerRequestHandler peerRequestHandler;
  private final MachineTypeCache machineTypeCache;
  private final RequestRouter router;
  private final AdminApi adminApi;
  private final EventLoopDelayProbe delayProbe;
  private @Nullable Leader leader;

  /** Creates a controller; nothing runs before {@link #start}. */
  public Controller(EventLoop loop, Settings settings, Client client, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.client = client;
    this.random = random;
    this.state = new StateClient(loop, client, settings);
    this.stateMonitor = new StateServiceMonitor(loop, state, settings.heartbeatIntervalS());
    this.store = new JobStore(loop, state, settings);
    store.onCancelled(this::jobCancelled);
    this.cloud = new CloudClient(loop, client, settings);
    this.peerReachability = new PeerReachability(loop, settings);
    PeerClient peerClient = new PeerClient(client, settings);
    PeerMessageFactory messages =
        new PeerMessageFactory(settings.node(), this::incarnation, stateMonitor);
    this.peerVoting = new PeerVotingClient(settings, peerClient, messages, peerReachability);
    this.leadership = new Leadership(loop, state, settings, random, this, peerVoting);
    this.machineTypeCache =
        new MachineTypeCache(loop, settings, cloud, state, leadership, this::machineTypesChanged);
    WorkerApi workers = buildWorkerApi(peerClient);
    PeerLeadership peerLeadership = new PeerLeadershipAdapter(leadership);
    this.peerHeartbeats =
        new PeerHeartbeats(
            loop,
            settings,
            peerClient,
            messages,
            peerReachability,
            jobProgress,
            peerLeadership,
            this::leaderProgress,
            this::peerReportedCancellations);
    this.peerRequestHandler =
        new PeerRequestHandler(
            settings,
            messages,
            peerReachability,
            jobProgress,
            peerLeadership,
            stateMonitor,
            this::knownCancellations,
            workers::handleRelayedHeartbeat);
    this.router = buildRouter(workers);
    this.adminApi = new AdminApi(state, metrics, settings.teams().keySet(), this::status);
    this.quotaMetrics = new QuotaMetrics(metrics, settings.teams().keySet());
    this.delayProbe = new EventLoopDelayProbe(loop, metrics, settings.heartbeatIntervalS() / 10);
    registerGauges();
  }

  private WorkerApi buildWorkerApi(PeerClient peerClient) {
    return new WorkerApi(
        loop,
        settings.node(),
        metrics,
        this::respondToHeartbeat,
        () -> leadership.leaderNode().orElse(null),
        new RedirectTracker(loop, settings.heartbeatIntervalS()),
        new HeartbeatRelay(peerClient, settings));
  }

  private RequestRouter buildRouter(WorkerApi workers) {
    UserApi users =
        new UserApi(loop, settings, store, metrics, machineTypeCache::machineTypes, this::progress);
    HealthCheck health =
        new HealthCheck(
            () -> !machineTypeCache.machineTypes().isEmpty(),
            stateMonitor,
            peerReachability,
            settings.heartbeatIntervalS());
    return new RequestRouter(loop, settings.maxSockets(), users, workers, health);
  }

  private void registerGauges() {
    metrics.gauge("leading", () -> leadership.isActive() ? 1 : 0);
    metrics.gauge("term", leadership::term);
    metrics.gauge("machines", () -> leader == null ? 0 : leader.cluster().machines().size());
    metrics.gauge("open_jobs", () -> leader == null ? 0 : leader.cluster().jobs().size());
    metrics.gauge(
        "jobs_waiting_for_others",
        () -> leader == null ? 0 : leader.cluster().dependencies().waitingJobCount());
  }

  // Components that tests access

  PeerVoting peerVoting() {
    return peerVoting;
  }

  PeerHeartbeats peerHeartbeats() {
    return peerHeartbeats;
  }

  StateClient state() {
    return state;
  }

  Leadership leadership() {
    return leadership;
  }

  /**
   * Starts all components except the servers. Data from other services is fetched in the
   * background.
   */
  public void start() {
    leadership.start();
    peerHeartbeats.start();
    machineTypeCache.start();
    stateMonitor.start();
    delayProbe.start();
  }

  /**
   * Starts the servers on both addresses: one is for users, workers and load balancers, the other
   * for peers and operators.
   */
  public void serve(IoEventLoopGroup group) throws InterruptedException {
    int sockets = settings.maxSockets();
    new HttpServer(this::handle, connectionLimit(sockets * 3 / 4))
        .start(group, settings.listenAddress());
    new HttpServer(this::handlePeer, connectionLimit(sockets / 20))
        .start(group, settings.peerListenAddress());
  }

  private static ConnectionLimit connectionLimit(int connections) {
    return new ConnectionLimit(Math.max(MIN_CONNECTIONS, connections));
  }

  /** Handles a request of a user, a worker or a load balancer. */
  public void handle(Request request, Responder responder) {
    router.handle(request, responder);
  }

  /** Handles a request of a peer or an operator. */
  public void handlePeer(Request request, Responder responder) {
    if (!peerRequestHandler.handle(request, responder) && !adminApi.handle(request, responder)) {
      responder.notFound(request);
    }
  }

  // Leading

  /** Returns the leader of this process if it may act at this moment, otherwise null. */
  @Nullable Leader activeLeader() {
    return leader != null && leader.term().isActive() ? leader : null;
  }

  @Override
  public void onElected(long term, long leaderKeyVersion) {
    metrics.increment(Metrics.Counter.TERMS_LED, 1);
    state.setLeading(true);
    leader =
        new Leader(
            new LeaderServices(
                loop,
                settings,
                random,
                client,
                state,
                store,
                cloud,
                leadership,
                peerReachability,
                metrics,
                quotaMetrics),
            term,
            leaderKeyVersion);
    leader.cluster().machineTypes(machineTypeCache.machineTypes());
    leader.start();
    machineTypeCache.persist();
  }

  @Override
  public void onSteppedDown(String reason) {
    state.setLeading(false);
    if (leader != null) {
      leader.end();
      leader = null;
    }
  }

  private String incarnation() {
    return leadership.incarnation();
  }

  private byte @Nullable [] respondToHeartbeat(Heartbeat heartbeat) {
    return leader == null ? null : leader.handleHeartbeat(heartbeat);
  }

  private void jobCancelled(String job) {
    if (leader != null) {
      leader.jobCancelled(job);
    }
  }

  private void machineTypesChanged(Map<String, MachineType> machineTypes) {
    if (leader != null) {
      leader.cluster().machineTypes(machineTypes);
    }
  }

  /** Passes a peer's report of cancellations to the leader, if it still leads the same term. */
  private void peerReportedCancellations(
      long term, String peer, double requestedAt, double completeSince, List<String> jobs) {
    if (leader != null && leadership.term() == term) {
      leader.peerReportedCancellations(peer, requestedAt, completeSince, jobs);
    }
  }

  private PeerResponse.Cancellations knownCancellations() {
    return new PeerResponse.Cancellations(
        store.recentlyCancelled(), store.cancellationsCompleteForS());
  }

  private JobProgress progress(String job) {
    Leader active = activeLeader();
    return active != null ? active.progress(job) : jobProgress.progress(job);
  }

  private Optional<TermProgress> leaderProgress() {
    Leader active = activeLeader();
    if (active == null) {
      return Optional.empty();
    }
    return Optional.of(active.progress());
  }

  private ControllerStatus status() {
    return new ControllerStatus(
        settings.node(),
        leadership.isActive(),
        leadership.leaderNode().orElse(null),
        leadership.term(),
        stateMonitor.isAvailable(),
        Optional.ofNullable(leader).map(Leader::cluster).map(Controller::clusterStatus));
  }

  private static ControllerStatus.ClusterStatus clusterStatus(Cluster cluster) {
    return new ControllerStatus.ClusterStatus(
        cluster.jobs().size(),
        cluster.machines().size(),
        cluster.unreconciledCount(),
        cluster.dependencies().waitingJobCount());
  }
}
