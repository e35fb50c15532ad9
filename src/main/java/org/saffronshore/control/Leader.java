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
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.peer.TermProgress;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.Heartbeat;

/**
 * One term of this controller as leader. Wires the components of the term, and runs the control
 * loops that place the tasks of open jobs on machines and save finished tasks in the state service.
 * The loops do nothing while the controller may not act as leader.
 */
@NullMarked
final class Leader {
  private final Settings settings;
  private final QuotaMetrics quotaMetrics;
  private final Cluster cluster;
  private final LeaderTerm term;
  private final OperatorSettingsReader operatorSettings;
  private final Failover failover;
  private final LeadershipMonitor leadershipMonitor;
  private final CommandSender commandSender;
  private final HeartbeatService heartbeatService;
  private final SchedulingLoop schedulingLoop;
  private final Autoscaler autoscaler;

  /**
   * Creates the components of a term; nothing runs before {@link #start}.
   *
   * @param number the term's number
   * @param leaderKeyVersion the version of the leader key that was written when this term began
   */
  Leader(LeaderServices services, long number, long leaderKeyVersion) {
    this.settings = services.settings();
    this.quotaMetrics = services.quotaMetrics();
    FencingTokens tokens = new FencingTokens(number);
    this.cluster = new Cluster(services.loop(), settings, tokens, leaderKeyVersion);
    this.term =
        new LeaderTerm(
            services.loop(), settings, services.leadership(), tokens, cluster::onProcessPause);
    this.operatorSettings = new OperatorSettingsReader(services.state(), settings.teams().keySet());
    this.commandSender =
        new CommandSender(settings, services.client(), term, cluster, this::runDueWork);
    this.heartbeatService = new HeartbeatService(term, cluster, this::runDueWork);
    this.autoscaler =
        new Autoscaler(
            services.loop(), settings, services.cloud(), services.metrics(), term, cluster);
    this.schedulingLoop =
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
            schedulingLoop::requestCycle);
    this.leadershipMonitor =
        new LeadershipMonitor(
            services.loop(),
            settings,
            services.state(),
            services.peerReachability(),
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

  /** Starts the recovery of the stored state and all loops of the term. */
  void start() {
    failover.start();
    leadershipMonitor.start();
    term.repeatWhileActive(settings.heartbeatIntervalS() / 12, this::maintainCluster);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, failover::saveFinishedTasks);
    term.repeatWhileActive(settings.heartbeatIntervalS(), operatorSettings::read);
    schedulingLoop.start();
    operatorSettings.read();
    autoscaler.start();
  }

  /** Ends the term; called when this controller has stepped down. */
  void end() {
    term.markEnded();
    quotaMetrics.clear();
  }

  /** See {@link HeartbeatService#handle}. */
  byte @Nullable [] handleHeartbeat(Heartbeat heartbeat) {
    return heartbeatService.handle(heartbeat);
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

  /** Returns the progress of all open jobs that have running or done tasks. */
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

  /** Returns the progress of a job, or {@link JobProgress#NONE} if the job is not open. */
  JobProgress progress(String id) {
    Job job = cluster.job(id);
    return job == null ? JobProgress.NONE : progress(job);
  }

  private static JobProgress progress(Job job) {
    return new JobProgress(job.finishedTasks().cardinality(), job.runningTaskCount());
  }

  /** Saves records, sends commands and requests a scheduling cycle if a change made them due. */
  private void runDueWork() {
    if (!term.isActive() || !term.hasLoadedRecords()) {
      return;
    }
    failover.saveDueRecords();
    commandSender.sendDue();
    if (cluster.consumeChanged()) {
      schedulingLoop.requestCycle();
    }
  }

  /** Does the work that becomes due by the passage of time; called periodically. */
  private void maintainCluster() {
    if (leadershipMonitor.yieldIfIsolated()) {
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

  /**
   * Saves the launch watermarks of placed tasks, sends the commands that start and stop tasks, and
   * reports the unplaced tasks to the autoscaler.
   */
  private void cycleCompleted(SchedulingPlan plan) {
    failover.saveLaunchWatermarks();
    commandSender.sendDue();
    autoscaler.onTasksUnplaced(plan.unplaced());
  }
}
