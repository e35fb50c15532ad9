package org.saffronshore.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.NullMarked;
import org.jspecify.annotations.Nullable;
import org.saffronshore.autoscaling.Autoscaler;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Settings;
import org.saffronshore.failover.Failover;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.peer.TermProgress;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.Heartbeat;

/**
 * One term of this controller as leader. Wires the parts of the term, and runs the loops that bring
 * the cluster closer to what the open jobs need: tasks to machines, finished tasks to the state
 * service. It does nothing while the leadership does not hold.
 */
@NullMarked
final class Leader {
  private final Settings settings;
  private final QuotaMetrics quotaMetrics;
  private final Cluster cluster;
  private final LeaderTerm term;
  private final OperatorSettingsReader operatorSettings;
  private final Failover failover;
  private final LeadershipMonitor monitor;
  private final CommandSender commands;
  private final HeartbeatService heartbeats;
  private final SchedulingLoop scheduling;
  private final Autoscaler autoscaler;

  /**
   * Creates the parts of a term; nothing runs before {@link #start}.
   *
   * @param number the term's number
   * @param leaderKeyVersion the version of the leader's key as this term wrote it
   */
  Leader(LeaderServices services, long number, long leaderKeyVersion) {
    this.settings = services.settings();
    this.quotaMetrics = services.quotaMetrics();
    this.cluster = new Cluster(services.loop(), settings, number, leaderKeyVersion);
    this.term =
        new LeaderTerm(
            services.loop(), settings, services.leadership(), number, cluster::onProcessPause);
    this.operatorSettings = new OperatorSettingsReader(services.state(), settings.teams().keySet());
    this.commands = new CommandSender(settings, services.client(), term, cluster, this::runDueWork);
    this.heartbeats = new HeartbeatService(term, cluster, this::runDueWork);
    this.autoscaler =
        new Autoscaler(
            services.loop(), settings, services.cloud(), services.metrics(), term, cluster);
    this.scheduling =
        new SchedulingLoop(
            services.loop(),
            settings,
            services.random(),
            services.metrics(),
            quotaMetrics,
            term,
            cluster,
            operatorSettings::current,
            this::cycleCompleted);
    this.failover =
        new Failover(
            services.loop(),
            settings,
            services.state(),
            services.store(),
            term,
            cluster,
            this::runDueWork,
            scheduling::requestCycle);
    this.monitor =
        new LeadershipMonitor(
            services.loop(),
            settings,
            services.state(),
            services.peers(),
            term,
            cluster,
            failover::cancellationsReadAt);
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

  /** Starts to recover the stored state, and all loops of the term. */
  void start() {
    failover.start();
    monitor.start();
    term.repeatWhileActive(settings.heartbeatIntervalS() / 12, this::maintainCluster);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, failover::saveFinishedTasks);
    term.repeatWhileActive(settings.heartbeatIntervalS(), operatorSettings::read);
    scheduling.start();
    operatorSettings.read();
    autoscaler.start();
  }

  /** This controller leads no more. */
  void end() {
    term.markEnded();
    quotaMetrics.clear();
  }

  /** See {@link HeartbeatService#handle}. */
  byte @Nullable [] handleHeartbeat(Heartbeat heartbeat) {
    return heartbeats.handle(heartbeat);
  }

  /** See {@link Failover#jobCancelled}. */
  void jobCancelled(String job) {
    failover.jobCancelled(job);
  }

  /** See {@link Failover#peerReportedCancellations}. */
  void peerReportedCancellations(
      String peer, double requestedAt, double completeSince, List<String> jobs) {
    failover.peerReportedCancellations(peer, requestedAt, completeSince, jobs);
  }

  /** Counts of done and running tasks of all open jobs that have any. */
  TermProgress progress() {
    Map<String, JobProgress> jobs = new LinkedHashMap<>();
    for (Job job : cluster.jobs()) {
      JobProgress progress = progress(job);
      if (progress.running() + progress.done() > 0) {
        jobs.put(job.spec().id(), progress);
      }
    }
    return new TermProgress(term.number(), jobs);
  }

  /** Counts of done and running tasks of a job; none of one that is not open. */
  JobProgress progress(String id) {
    Job job = cluster.job(id);
    return job == null ? JobProgress.NONE : progress(job);
  }

  private static JobProgress progress(Job job) {
    return new JobProgress(job.finishedTasks().cardinality(), job.runningTaskCount());
  }

  /** Does everything that may have become due by a change of the cluster. */
  private void runDueWork() {
    if (!term.isActive() || !term.hasLoadedRecords()) {
      return;
    }
    failover.saveDueRecords();
    commands.sendDue();
    if (cluster.consumeChanged()) {
      scheduling.requestCycle();
    }
  }

  /** Does what only the passing of time makes due. */
  private void maintainCluster() {
    if (monitor.yieldIfIsolated()) {
      return;
    }
    cluster.expireLeases();
    cluster.unresponsiveMachines().detect();
    if (!cluster.isMostlySilent(settings.heartbeatIntervalS() * 4 / 3)) {
      cluster.registry().cordonSilentMachines();
    }
    cluster.retryCommands();
    failover.resolveDependencies();
    runDueWork();
  }

  /** What a cycle has placed and stopped is sent; what found no room is for the autoscaler. */
  private void cycleCompleted(SchedulingPlan plan) {
    failover.saveLaunchWatermarks();
    commands.sendDue();
    autoscaler.onTasksUnplaced(plan.unplaced());
  }
}
