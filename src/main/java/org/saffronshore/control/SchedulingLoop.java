package org.saffronshore.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.admin.Metrics;
import org.saffronshore.admin.OperatorSettings;
import org.saffronshore.cluster.Attempt;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.SchedulingCycle;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.Team;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the scheduling cycles of one term: full cycles periodically, others soon after a change. */
@NullMarked
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /**
   * The maximum fraction of time for the cycles that follow changes. The remaining time is for
   * heartbeats.
   */
  private static final double MAX_CYCLE_FRACTION = 0.15;

  private final EventLoop loop;
  private final RandomGenerator random;
  private final Metrics metrics;
  private final QuotaMetrics quotaMetrics;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final Supplier<OperatorSettings> operatorSettings;
  private final Consumer<SchedulingPlan> onCycleCompleted;
  private final double minRequestDelayS;
  private boolean cycleRequested;
  private double lastCycleS;

  /**
   * Creates the loop of one term.
   *
   * @param operatorSettings supplies the operator settings in force
   * @param onCycleCompleted receives the plan of each cycle after it was applied to the cluster
   */
  SchedulingLoop(
      EventLoop loop,
      Settings settings,
      RandomGenerator random,
      Metrics metrics,
      QuotaMetrics quotaMetrics,
      LeaderTerm term,
      Cluster cluster,
      Supplier<OperatorSettings> operatorSettings,
      Consumer<SchedulingPlan> onCycleCompleted) {
    this.loop = loop;
    this.random = random;
    this.metrics = metrics;
    this.quotaMetrics = quotaMetrics;
    this.term = term;
    this.cluster = cluster;
    this.operatorSettings = operatorSettings;
    this.onCycleCompleted = onCycleCompleted;
    this.minRequestDelayS = settings.heartbeatIntervalS() / 100;
  }

  /** Runs full cycles periodically until the term ends. */
  void start() {
    loop.schedule(
        operatorSettings.get().scheduling().periodS(),
        () -> {
          if (term.hasEnded()) {
            return;
          }
          try {
            runCycle(true);
            if (term.isActive() && term.hasLoadedRecords()) {
              LOG.info("Cluster state: term={} {}", term.number(), cluster.view().summary());
            }
          } finally {
            start();
          }
        });
  }

  /**
   * Requests a cycle soon after a change. Further requests before it starts are covered by the same
   * cycle.
   */
  void requestCycle() {
    if (!cycleRequested) {
      cycleRequested = true;
      loop.schedule(
          Math.max(minRequestDelayS, lastCycleS / MAX_CYCLE_FRACTION),
          () -> {
            cycleRequested = false;
            runCycle(false);
          });
    }
  }

  /**
   * Runs a cycle and applies its plan, unless this controller may not act at this moment.
   *
   * @param evict whether running tasks are evicted in memory and compete for machines again
   */
  private void runCycle(boolean evict) {
    term.detectPause();
    if (!term.isActive() || !term.hasLoadedRecords() || cluster.machineTypes().isEmpty()) {
      return;
    }
    double startedAt = loop.now();
    cluster.consumeChanged();
    OperatorSettings operator = operatorSettings.get();
    Map<String, Team> teams = cluster.view().teams(operator.scheduling(), operator.teamWeights());
    SchedulingPlan plan =
        SchedulingCycle.run(
            cluster.view().schedulableMachines(),
            cluster.view().pendingJobs(term.holdsStoreLease()),
            teams,
            operator.scheduling(),
            evict,
            random,
            startedAt);
    apply(plan);
    quotaMetrics.cycleCompleted(teams.values(), plan.quotaLimited());
    logQuotaLimited(plan);
    recordMetrics(plan, startedAt);
    onCycleCompleted.accept(plan);
  }

  private void apply(SchedulingPlan plan) {
    plan.placements().forEach(this::place);
    for (SchedulingPlan.Preemption preemption : plan.preemptions()) {
      cluster.preempt(preemption.task(), preemption.machine(), preemption.reason().toString());
    }
  }

  private void place(SchedulingPlan.Placement placement) {
    Optional<Attempt> attempt =
        cluster.place(placement.task(), placement.machine(), placement.overdue());
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "Placing task: task={} machine={} attempt={} term={} unreconciled_machines={}"
              + " quota_usage={}",
          placement.task(),
          placement.machine(),
          attempt.map(Attempt::number).orElse(0L),
          cluster.term(),
          cluster.unreconciledCount(),
          placement.usageBefore());
    }
  }

  /** Logs one line per team whose quota limited its tasks, regardless of the number of jobs. */
  private void logQuotaLimited(SchedulingPlan plan) {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    Map<String, SchedulingPlan.QuotaLimitedTasks> firstOfTeam = new LinkedHashMap<>();
    plan.quotaLimited().forEach(limited -> firstOfTeam.putIfAbsent(limited.job().team(), limited));
    for (SchedulingPlan.QuotaLimitedTasks limited : firstOfTeam.values()) {
      LOG.debug(
          "Quota limits tasks: team={} job={} tasks={} term={} unreconciled_machines={}"
              + " only_by_unreconciled={} quota_usage={}",
          limited.job().team(),
          limited.job().id(),
          limited.tasks(),
          cluster.term(),
          cluster.unreconciledCount(),
          limited.onlyByUnreconciled(),
          limited.usage());
    }
  }

  private void recordMetrics(SchedulingPlan plan, double startedAt) {
    metrics.increment(Metrics.Counter.SCHEDULING_CYCLES, 1);
    metrics.increment(Metrics.Counter.TASKS_PLACED, plan.placements().size());
    metrics.increment(Metrics.Counter.TASKS_STOPPED, plan.preemptions().size());
    lastCycleS = loop.now() - startedAt;
    metrics.recordLatency(Metrics.Latency.CYCLE, lastCycleS);
  }
}
