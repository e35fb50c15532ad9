package org.saffronshore.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.saffronshore.admin.OperatorSettings;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.CommandBatch;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.Loop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.peer.Progress;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.state.Keys;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leading. Reads what the state service knows, rebuilds the rest from reports, and then
 * runs the loops that bring what is closer to what is wanted: tasks to machines, finished tasks to
 * the state service. It does nothing while the leadership does not hold.
 */
final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private final Loop loop;
  private final Settings settings;
  private final StateClient state;
  private final Client client;
  private final Leadership leadership;
  private final TeamMetrics teamMetrics;
  private final PeerLink peers;
  private final Autoscaler fleet;
  private final SchedulingLoop scheduling;
  private final Cluster cluster;
  private final JobWatcher jobWatcher;
  private final TermStore termStore;
  private final DependencyResolver dependencyResolver;
  private final LeaderTerm term;
  private final byte[] nothingToDo;

  /** Calls under way: a burst of launches must not use up the connections. */
  private int commandsInFlight;

  private final int maxCommandsInFlight;
  private final CancellationFreshness cancellations;
  private final double startedAt;
  private double noStoreLeaseAt = Double.NEGATIVE_INFINITY;
  private double refusedSince = Double.POSITIVE_INFINITY;
  private OperatorSettings operator = OperatorSettings.START;

  Leader(Node node, long term, long keyVersion) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.state = node.state();
    this.client = node.client();
    this.leadership = node.leadership();
    this.teamMetrics = node.teamMetrics();
    this.peers = node.peers();
    this.cluster = new Cluster(loop, settings, term, keyVersion);
    this.term = new LeaderTerm(loop, settings, leadership, term, cluster::stoodStill);
    this.startedAt = loop.now();
    this.cancellations = new CancellationFreshness(settings);
    this.maxCommandsInFlight = Math.max(4, settings.sockets() / 8);
    this.nothingToDo = Json.bytes(answer(List.of()));
    this.jobWatcher = new JobWatcher(node, this, cluster);
    this.termStore = new TermStore(node, this, cluster);
    this.dependencyResolver = new DependencyResolver(node, this, cluster, termStore);
    this.fleet = new Autoscaler(loop, settings, node.cloud(), node.metrics(), this.term, cluster);
    this.scheduling = new SchedulingLoop(node, this, cluster);
  }

  Cluster cluster() {
    return cluster;
  }

  Autoscaler fleet() {
    return fleet;
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
    loop.after(settings.reportS() / 12, this::checkLeadership);
    term.repeatWhileActive(settings.reportS() / 12, this::tick);
    term.repeatWhileActive(settings.reportS() / 3, this::saveProgress);
    term.repeatWhileActive(settings.reportS(), this::readOperator);
    period();
    readOperator();
    fleet.start();
  }

  private void period() {
    loop.after(
        operator.tuning().periodS(),
        () -> {
          if (term.hasEnded()) {
            return;
          }
          try {
            scheduling.cycle(true);
            if (term.isActive() && term.isLoaded()) {
              LOG.info("term {}: {}", term.number(), cluster.views().summary());
            }
          } finally {
            period();
          }
        });
  }

  // What the state service knows

  private void load() {
    double askedAt = loop.now();
    state.lists(
        List.of(Keys.PROGRESS, Keys.SHORT_PROGRESS, Keys.REGISTRY, Keys.LAUNCH_MARKS, Keys.JOBS),
        read -> {
          if (term.hasEnded()) {
            return;
          }
          if (read == null) {
            loop.after(settings.reportS() / 10, this::load);
            return;
          }
          StateClient.Listing jobs = read.get(Keys.JOBS);
          Map<String, BitSet> done = termStore.readProgress(read.get(Keys.PROGRESS));
          termStore.readShortProgress(read.get(Keys.SHORT_PROGRESS), done);
          jobWatcher.begin(jobs, done, termStore.readLaunchMarks(read.get(Keys.LAUNCH_MARKS)));
          termStore.begin(read.get(Keys.REGISTRY));
          term.markLoaded();
          cancellationsRead(askedAt);
          LOG.info(
              "term {}: {} open jobs, {} machines that may hold tasks",
              term.number(),
              jobs.entries().size(),
              cluster.unconfirmedCount());
          LOG.debug(
              "term {}: read from the state service: asked_s_ago={} leader_key_revision={}"
                  + " revisions={}",
              term.number(),
              loop.now() - askedAt,
              leadership.keyVersion(),
              revisions(read));
          jobWatcher.watch(jobs.revision());
          scheduling.plan();
        });
  }

  /** At which revision each prefix was read, by its name. */
  private static Map<String, Long> revisions(Map<String, StateClient.Listing> read) {
    Map<String, Long> revisions = new TreeMap<>();
    read.forEach((prefix, listing) -> revisions.put(prefix, listing.revision()));
    return revisions;
  }

  /** All that was cancelled up to some moment is known here; see {@link CancellationFreshness}. */
  private void cancellationsKnown() {
    leadership.allowRenewalsUntil(cancellations.renewalsAllowedUntil());
  }

  void cancellationsRead(double asOf) {
    cancellations.read(asOf);
    cancellationsKnown();
  }

  /** A peer has told which cancellations it learned of; its answer was asked for at that moment. */
  void cancellationsTold(String peer, double askedAt, double coveredSince, List<String> jobs) {
    if (!term.isLoaded()) {
      return;
    }
    jobs.forEach(this::cancelled);
    cancellations.told(peer, askedAt, coveredSince);
    cancellationsKnown();
  }

  /**
   * The state service has the job as cancelled, as this node or a peer has read or written itself.
   */
  void cancelled(String job) {
    if (!term.isLoaded()) {
      return;
    }
    cluster.ended(job, false, loop.wallMs());
    if (cluster.job(job) != null) {
      remove(job);
      runDueWork();
    }
  }

  /** The job is over. */
  void remove(String job) {
    cluster.removeJob(job);
    termStore.remove(job);
  }

  private void saveProgress() {
    if (term.isLoaded()) {
      termStore.saveProgress();
    }
  }

  private void readOperator() {
    state.get(
        Keys.OPERATOR,
        true,
        answer -> {
          try {
            if (answer.found()) {
              operator = OperatorSettings.parse(answer.value(), settings.teams().keySet());
            } else if (answer.missing()) {
              operator = OperatorSettings.START;
            }
          } catch (InvalidField e) {
            LOG.error("stored operators' settings are not used: {}", e.getMessage());
          }
        });
  }

  // Reports

  /** The answer to a worker's report; null when this node cannot answer for the controllers now. */
  byte[] report(Report report) {
    if (report.token() > term.number()) {
      leadership.stepDown("worker " + report.machine() + " has seen token " + report.token());
      return null;
    }
    term.detectPause();
    if (!term.isActive() || cluster.isRemoved(report.machine())) {
      return null;
    }
    Machine machine = cluster.reported(report);
    List<Command> commands = cluster.responseCommands(machine);
    runDueWork();
    return commands.isEmpty() ? nothingToDo : Json.bytes(answer(commands));
  }

  private ObjectNode answer(List<Command> commands) {
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
    termStore.saveLaunchMarks();
    termStore.saveRegistry();
    termStore.saveFinished();
    sendCommands();
    if (cluster.takeChanged()) {
      scheduling.plan();
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
      noStoreLeaseAt = loop.now();
    }
    if (loop.now()
        > Math.max(Math.max(startedAt, noStoreLeaseAt), cancellations.readAt())
            + settings.cancelS() / 3) {
      leadership.stepDown("cancellations cannot be read");
    } else if (refusedAlone()) {
      leadership.stepDown("the state service serves its peers, and not it");
    } else {
      loop.after(settings.reportS() / 12, this::checkLeadership);
    }
  }

  private void tick() {
    if (peers.alone(settings.reportS()) && cluster.mostlySilent(2 * settings.reportS())) {
      leadership.yieldLeadership("it hears neither its peers nor most machines");
      return;
    }
    cluster.expireLeases();
    cluster.unresponsiveMachines().detect();
    if (!cluster.mostlySilent(settings.reportS() * 4 / 3)) {
      cluster.registry().freezeSilent();
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
  private boolean refusedAlone() {
    double now = loop.now();
    refusedSince =
        peers.servedSince(state.answeredAt())
            ? Math.min(refusedSince, now)
            : Double.POSITIVE_INFINITY;
    return !leadership.holdsStoreLease() && now > refusedSince + settings.reportS() / 4;
  }

  /** What a cycle has placed and stopped goes out; what found no room is a matter of the fleet. */
  void cycled(Plan plan) {
    termStore.saveLaunchMarks();
    sendCommands();
    fleet.wanted(plan.unmet());
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
      CommandBatch call = cluster.call(m);
      if (call != null) {
        commandsInFlight++;
        send(call);
      }
    }
  }

  private void send(CommandBatch call) {
    ObjectNode body = answer(call.commands()).put("Shift", call.session());
    LOG.debug(
        "telling machine {}: {} token={} session={}",
        call.machine().id(),
        call.commands(),
        term.number(),
        call.session());
    // What only asks where a machine is must not stand in the way of launches when many do not
    // answer.
    double patience = settings.reportS() * (call.commands().isEmpty() ? 1 : 4) / 3;
    client.send(
        call.machine().address(),
        "POST",
        "/do",
        Json.bytes(body),
        patience,
        answer -> {
          commandsInFlight--;
          Report report = null;
          if (answer.status() == 200 || answer.status() == 409) {
            try {
              report = Report.parse(answer.body());
            } catch (InvalidField e) {
              LOG.warn(
                  "machine {} answered with no report: {}", call.machine().id(), e.getMessage());
            }
          }
          if (term.hasEnded()) {
            return;
          }
          if (report != null && report.token() > term.number()) {
            leadership.stepDown("worker " + report.machine() + " has seen token " + report.token());
            return;
          }
          boolean surelyNot =
              answer.equals(org.saffronshore.http.Answer.NOT_SENT)
                  || answer.status() == 409 && report != null;
          cluster.called(call, answer.status() == 200 && report != null, surelyNot, report);
          runDueWork();
        });
  }

  Progress progress(String id) {
    Job job = cluster.job(id);
    return job == null ? Progress.NONE : new Progress(job.doneTasks().cardinality(), job.running());
  }
}
