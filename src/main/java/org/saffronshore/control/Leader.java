package org.saffronshore.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.saffronshore.admin.OperatorSettings;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.CommandBatch;
import org.saffronshore.cluster.DeliveryOutcome;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leading. Reads what the state service knows, rebuilds the rest from reports, and then
 * runs the loops that bring what is closer to what is wanted: tasks to machines, finished tasks to
 * the state service. It does nothing while the leadership does not hold.
 */
final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private final EventLoop loop;
  private final Settings settings;
  private final StateClient state;
  private final Client client;
  private final Leadership leadership;
  private final QuotaMetrics teamMetrics;
  private final PeerLink peers;
  private final Autoscaler autoscaler;
  private final SchedulingLoop scheduling;
  private final Cluster cluster;
  private final OpenJobWatcher jobWatcher;
  private final TermStore termStore;
  private final DependencyResolver dependencyResolver;
  private final LeaderTerm term;
  private final byte[] emptyResponse;

  /** Calls under way: a burst of launches must not use up the connections. */
  private int commandsInFlight;

  private final int maxCommandsInFlight;
  private final CancellationHorizon cancellations;
  private final double startedAt;
  private double lastWithoutStoreLeaseAt = Double.NEGATIVE_INFINITY;
  private double aloneWithoutStateServiceSince = Double.POSITIVE_INFINITY;
  private OperatorSettings operator = OperatorSettings.DEFAULTS;

  Leader(Controller node, long term, long keyVersion) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.state = node.state();
    this.client = node.client();
    this.leadership = node.leadership();
    this.teamMetrics = node.teamMetrics();
    this.peers = node.peers();
    this.cluster = new Cluster(loop, settings, term, keyVersion);
    this.term = new LeaderTerm(loop, settings, leadership, term, cluster::onProcessPause);
    this.startedAt = loop.now();
    this.cancellations = new CancellationHorizon(settings);
    this.maxCommandsInFlight = Math.max(4, settings.maxSockets() / 8);
    this.emptyResponse = Json.bytes(commandMessage(List.of()));
    this.jobWatcher = new OpenJobWatcher(node, this, cluster);
    this.termStore = new TermStore(node, this, cluster);
    this.dependencyResolver = new DependencyResolver(node, this, cluster, termStore);
    this.autoscaler =
        new Autoscaler(loop, settings, node.cloud(), node.metrics(), this.term, cluster);
    this.scheduling = new SchedulingLoop(node, this, cluster);
  }

  Cluster cluster() {
    return cluster;
  }

  Autoscaler autoscaler() {
    return autoscaler;
  }

  LeaderTerm term() {
    return term;
  }

  void end() {
    term.end();
    teamMetrics.clear();
  }

  void start() {
    load();
    loop.schedule(settings.heartbeatIntervalS() / 12, this::checkLeadership);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 12, this::tick);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, this::saveProgress);
    term.repeatWhileActive(settings.heartbeatIntervalS(), this::readOperator);
    period();
    readOperator();
    autoscaler.start();
  }

  private void period() {
    loop.schedule(
        operator.scheduling().periodS(),
        () -> {
          if (term.hasEnded()) {
            return;
          }
          try {
            scheduling.runCycle(true);
            if (term.isActive() && term.isLoaded()) {
              LOG.info("term {}: {}", term.number(), cluster.view().summary());
            }
          } finally {
            period();
          }
        });
  }

  // What the state service knows

  private void load() {
    double askedAt = loop.now();
    state.listAll(
        List.of(
            Keys.FINISHED_TASKS,
            Keys.FINISHED_TASKS_SHORT_CHUNKS,
            Keys.MACHINE_REGISTRY,
            Keys.LAUNCH_WATERMARKS,
            Keys.OPEN_JOBS),
        read -> {
          if (term.hasEnded()) {
            return;
          }
          if (read == null) {
            loop.schedule(settings.heartbeatIntervalS() / 10, this::load);
            return;
          }
          StateClient.Listing jobs = read.get(Keys.OPEN_JOBS);
          Map<String, BitSet> done = termStore.readFinishedTasks(read.get(Keys.FINISHED_TASKS));
          termStore.readFinishedTasksInShortChunks(
              read.get(Keys.FINISHED_TASKS_SHORT_CHUNKS), done);
          jobWatcher.begin(
              jobs, done, termStore.readLaunchWatermarks(read.get(Keys.LAUNCH_WATERMARKS)));
          termStore.begin(read.get(Keys.MACHINE_REGISTRY));
          term.markLoaded();
          cancellationsRead(askedAt);
          LOG.info(
              "term {}: {} open jobs, {} machines that may hold tasks",
              term.number(),
              jobs.entries().size(),
              cluster.unreconciledCount());
          LOG.debug(
              "term {}: read from the state service: asked_s_ago={} leader_key_revision={}"
                  + " revisions={}",
              term.number(),
              loop.now() - askedAt,
              leadership.leaderKeyVersion(),
              revisions(read));
          jobWatcher.watch(jobs.revision());
          scheduling.requestCycle();
        });
  }

  /** At which revision each prefix was read, by its name. */
  private static Map<String, Long> revisions(Map<String, StateClient.Listing> read) {
    Map<String, Long> revisions = new TreeMap<>();
    read.forEach((prefix, listing) -> revisions.put(prefix, listing.revision()));
    return revisions;
  }

  /** All that was cancelled up to some moment is known here; see {@link CancellationHorizon}. */
  private void extendRenewals() {
    leadership.allowRenewalsUntil(cancellations.renewalsAllowedUntil());
  }

  void cancellationsRead(double asOf) {
    cancellations.recordRead(asOf);
    extendRenewals();
  }

  /** A peer has told which cancellations it learned of; its answer was asked for at that moment. */
  void peerReportedCancellations(
      String peer, double askedAt, double coveredSince, List<String> jobs) {
    if (!term.isLoaded()) {
      return;
    }
    jobs.forEach(this::jobCancelled);
    cancellations.recordPeerReport(peer, askedAt, coveredSince);
    extendRenewals();
  }

  /**
   * The state service has the job as cancelled, as this node or a peer has read or written itself.
   */
  void jobCancelled(String job) {
    if (!term.isLoaded()) {
      return;
    }
    cluster.jobEnded(job, false, loop.wallClockMs());
    if (cluster.job(job) != null) {
      removeJob(job);
      runDueWork();
    }
  }

  /** The job is over. */
  void removeJob(String job) {
    cluster.removeJob(job);
    termStore.remove(job);
  }

  private void saveProgress() {
    if (term.isLoaded()) {
      termStore.saveFinishedTasks();
    }
  }

  private void readOperator() {
    state.get(
        Keys.OPERATOR_SETTINGS,
        true,
        answer -> {
          try {
            if (answer.isFound()) {
              operator = OperatorSettings.parse(answer.value(), settings.teams().keySet());
            } else if (answer.isMissing()) {
              operator = OperatorSettings.DEFAULTS;
            }
          } catch (InvalidFieldException e) {
            LOG.error("stored operators' settings are not used: {}", e.getMessage());
          }
        });
  }

  // Reports

  /** The answer to a worker's report; null when this node cannot answer for the controllers now. */
  byte[] handleHeartbeat(Heartbeat report) {
    if (report.fencingToken() > term.number()) {
      leadership.stepDown(
          "worker " + report.machine() + " has seen token " + report.fencingToken());
      return null;
    }
    term.detectPause();
    if (!term.isActive() || cluster.isRemoved(report.machine())) {
      return null;
    }
    Machine machine = cluster.heartbeatReceived(report);
    List<Command> commands = cluster.responseCommands(machine);
    runDueWork();
    return commands.isEmpty() ? emptyResponse : Json.bytes(commandMessage(commands));
  }

  private ObjectNode commandMessage(List<Command> commands) {
    ObjectNode answer = Json.object().put("Baton", term.number());
    Command.write(answer, commands);
    return answer;
  }

  // Loops

  /** Looks after everything that may have become due. */
  void runDueWork() {
    if (!term.isActive() || !term.isLoaded()) {
      return;
    }
    termStore.saveLaunchWatermarks();
    termStore.saveRegistry();
    termStore.saveCompletedJobs();
    sendCommands();
    if (cluster.consumeChanged()) {
      scheduling.requestCycle();
    }
  }

  /**
   * Leaves the lead to others where they can do more with it, also when this node may not act
   * itself.
   */
  private void checkLeadership() {
    if (term.hasEnded()) {
      return;
    }
    if (!leadership.holdsStoreLease()) {
      // After an outage the lease is renewed before the jobs can have been read: that takes a
      // moment.
      lastWithoutStoreLeaseAt = loop.now();
    }
    if (loop.now()
        > Math.max(Math.max(startedAt, lastWithoutStoreLeaseAt), cancellations.readAt())
            + settings.cancellationDeadlineS() / 3) {
      leadership.stepDown("cancellations cannot be read");
    } else if (isAloneWithoutStateService()) {
      leadership.stepDown("the state service serves its peers, and not it");
    } else {
      loop.schedule(settings.heartbeatIntervalS() / 12, this::checkLeadership);
    }
  }

  private void tick() {
    if (peers.isIsolated(settings.heartbeatIntervalS())
        && cluster.isMostlySilent(2 * settings.heartbeatIntervalS())) {
      leadership.yieldLeadership("it hears neither its peers nor most machines");
      return;
    }
    cluster.expireLeases();
    cluster.unresponsiveMachines().detect();
    if (!cluster.isMostlySilent(settings.heartbeatIntervalS() * 4 / 3)) {
      cluster.registry().cordonSilent();
    }
    cluster.retryCommands();
    dependencyResolver.resolve();
    runDueWork();
  }

  /**
   * Whether the store lease is over while the state service serves others. The leases of peers are
   * for an outage that all share; to go on with it here would only keep a successor waiting. Just
   * after an outage some are served a moment before the leader is, so this must last for several of
   * its tries.
   */
  private boolean isAloneWithoutStateService() {
    double now = loop.now();
    aloneWithoutStateServiceSince =
        peers.anyPeerServedSince(state.lastResponseAt())
            ? Math.min(aloneWithoutStateServiceSince, now)
            : Double.POSITIVE_INFINITY;
    return !leadership.holdsStoreLease()
        && now > aloneWithoutStateServiceSince + settings.heartbeatIntervalS() / 4;
  }

  /** What a cycle has placed and stopped goes out; what found no room is a matter of the fleet. */
  void cycleCompleted(SchedulingPlan plan) {
    termStore.saveLaunchWatermarks();
    sendCommands();
    autoscaler.tasksUnplaced(plan.unplaced());
  }

  OperatorSettings operator() {
    return operator;
  }

  private void sendCommands() {
    // Looked at before each call: whoever stood still a moment ago may not act any more.
    while (commandsInFlight < maxCommandsInFlight && term.isActive()) {
      Machine m = cluster.nextMachineWithCommands();
      if (m == null) {
        return;
      }
      CommandBatch call = cluster.nextBatch(m);
      if (call != null) {
        commandsInFlight++;
        send(call);
      }
    }
  }

  private void send(CommandBatch call) {
    ObjectNode body = commandMessage(call.commands()).put("Shift", call.epoch());
    LOG.debug(
        "telling machine {}: {} token={} session={}",
        call.machine().id(),
        call.commands(),
        term.number(),
        call.epoch());
    // What only asks where a machine is must not stand in the way of launches when many do not
    // answer.
    double patience = settings.heartbeatIntervalS() * (call.commands().isEmpty() ? 1 : 4) / 3;
    client.send(
        call.machine().address(),
        "POST",
        "/do",
        Json.bytes(body),
        patience,
        answer -> {
          commandsInFlight--;
          Heartbeat report = null;
          if (answer.status() == 200 || answer.status() == 409) {
            try {
              report = Heartbeat.parse(answer.body());
            } catch (InvalidFieldException e) {
              LOG.warn(
                  "machine {} answered with no report: {}", call.machine().id(), e.getMessage());
            }
          }
          if (term.hasEnded()) {
            return;
          }
          if (report != null && report.fencingToken() > term.number()) {
            leadership.stepDown(
                "worker " + report.machine() + " has seen token " + report.fencingToken());
            return;
          }
          boolean surelyNot =
              answer.equals(org.saffronshore.http.Response.NOT_SENT)
                  || (answer.status() == 409 && report != null);
          DeliveryOutcome outcome =
              answer.status() == 200 && report != null
                  ? DeliveryOutcome.EXECUTED
                  : surelyNot ? DeliveryOutcome.NOT_EXECUTED : DeliveryOutcome.UNKNOWN;
          cluster.batchCompleted(call, outcome, report);
          runDueWork();
        });
  }

  JobProgress progress(String id) {
    Job job = cluster.job(id);
    return job == null
        ? JobProgress.NONE
        : new JobProgress(job.finishedTasks().cardinality(), job.runningTaskCount());
  }
}
