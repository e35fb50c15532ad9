package org.saffronshore.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
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

/** One term's scheduling cycles: full ones once in a period, and others soon after a change. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Cycles that follow a change may take this share of the time: the rest is for reports. */
  private static final double CYCLE_SHARE = 0.15;

  private final EventLoop loop;
  private final Settings settings;
  private final Metrics metrics;
  private final QuotaMetrics teamMetrics;
  private final RandomGenerator random;
  private final Leader leader;
  private final LeaderTerm term;
  private final Cluster cluster;
  private boolean cycleRequested;
  private double lastCycleS;

  SchedulingLoop(Controller node, Leader leader, Cluster cluster) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.metrics = node.metrics();
    this.teamMetrics = node.teamMetrics();
    this.random = node.random();
    this.leader = leader;
    this.term = leader.term();
    this.cluster = cluster;
  }

  /** Something has changed: a cycle follows soon, one for all changes until then. */
  void requestCycle() {
    if (!cycleRequested) {
      cycleRequested = true;
      loop.schedule(
          Math.max(settings.heartbeatIntervalS() / 100, lastCycleS / CYCLE_SHARE),
          () -> {
            cycleRequested = false;
            runCycle(false);
          });
    }
  }

  /**
   * Decides what starts and what stops, as far as this controller may act now.
   *
   * @param evict whether tasks that run are reconsidered too
   */
  void runCycle(boolean evict) {
    term.detectPause();
    if (!term.isActive() || !term.isLoaded() || cluster.machineTypes().isEmpty()) {
      return;
    }
    double began = loop.now();
    cluster.consumeChanged();
    OperatorSettings operator = leader.operator();
    Map<String, Team> teams = cluster.view().teams(operator.scheduling(), operator.teamWeights());
    SchedulingPlan plan =
        SchedulingCycle.run(
            cluster.view().schedulableMachines(),
            cluster.view().pendingJobs(term.holdsStoreLease()),
            teams,
            operator.scheduling(),
            evict,
            random,
            began);
    plan.placements().forEach(this::place);
    for (SchedulingPlan.Preemption s : plan.preemptions()) {
      cluster.stop(s.task(), s.machine(), s.reason());
    }
    teamMetrics.cycleCompleted(teams.values(), plan.quotaLimited());
    logLimited(plan);
    metrics.increment(Metrics.Counter.CYCLES, 1);
    metrics.increment(Metrics.Counter.PLACED, plan.placements().size());
    metrics.increment(Metrics.Counter.STOPPED, plan.preemptions().size());
    lastCycleS = loop.now() - began;
    metrics.recordLatency(Metrics.Latency.CYCLE, lastCycleS);
    leader.cycleCompleted(plan);
  }

  private void place(SchedulingPlan.Placement p) {
    Optional<Attempt> attempt = cluster.place(p.task(), p.machine(), p.overdue());
    LOG.debug(
        "placing task {} on {}: attempt={} term={} unaccounted={} counted before: {}",
        p.task(),
        p.machine(),
        attempt.map(Attempt::number).orElse(0L),
        cluster.term(),
        cluster.unreconciledCount(),
        p.counted());
  }

  /** One line for each team that its limit holds back in a cycle, however many jobs that is. */
  private void logLimited(SchedulingPlan plan) {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    Map<String, SchedulingPlan.QuotaLimitedTasks> first = new LinkedHashMap<>();
    plan.quotaLimited().forEach(l -> first.putIfAbsent(l.job().team(), l));
    for (SchedulingPlan.QuotaLimitedTasks l : first.values()) {
      LOG.debug(
          "limit holds back job={} tasks={} term={} unaccounted={} only_by_unaccounted={}"
              + " counted: {}",
          l.job().id(),
          l.tasks(),
          cluster.term(),
          cluster.unreconciledCount(),
          l.onlyByUnreconciled(),
          l.counted());
    }
  }
}
