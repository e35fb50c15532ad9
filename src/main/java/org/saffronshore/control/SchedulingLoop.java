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
import org.saffronshore.http.Loop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.Cycle;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.scheduling.Team;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term's scheduling cycles: full ones once in a period, and others soon after a change. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Cycles that follow a change may take this share of the time: the rest is for reports. */
  private static final double CYCLE_SHARE = 0.15;

  private final Loop loop;
  private final Settings settings;
  private final Metrics metrics;
  private final TeamMetrics teamMetrics;
  private final RandomGenerator random;
  private final Leader leader;
  private final LeaderTerm term;
  private final Cluster cluster;
  private boolean planned;
  private double lastCycleS;

  SchedulingLoop(Node node, Leader leader, Cluster cluster) {
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
  void plan() {
    if (!planned) {
      planned = true;
      loop.after(
          Math.max(settings.reportS() / 100, lastCycleS / CYCLE_SHARE),
          () -> {
            planned = false;
            cycle(false);
          });
    }
  }

  /**
   * Decides what starts and what stops, as far as this controller may act now.
   *
   * @param evict whether tasks that run are reconsidered too
   */
  void cycle(boolean evict) {
    term.detectPause();
    if (!term.isActive() || !term.isLoaded() || cluster.types().isEmpty()) {
      return;
    }
    double began = loop.now();
    cluster.takeChanged();
    OperatorSettings operator = leader.operator();
    Map<String, Team> teams = cluster.views().teams(operator.tuning(), operator.teamWeights());
    Plan plan =
        Cycle.run(
            cluster.views().hosts(),
            cluster.views().pending(term.holdsStoreLease()),
            teams,
            operator.tuning(),
            evict,
            random,
            began);
    plan.placements().forEach(this::place);
    for (Plan.Stop s : plan.stops()) {
      cluster.stop(s.task(), s.host(), s.why());
    }
    teamMetrics.cycled(teams.values(), plan.limited());
    logLimited(plan);
    metrics.add(Metrics.Count.CYCLES, 1);
    metrics.add(Metrics.Count.PLACED, plan.placements().size());
    metrics.add(Metrics.Count.STOPPED, plan.stops().size());
    lastCycleS = loop.now() - began;
    metrics.took(Metrics.Latency.CYCLE, lastCycleS);
    leader.cycled(plan);
  }

  private void place(Plan.Placement p) {
    Optional<Attempt> attempt = cluster.place(p.task(), p.host(), p.overdue());
    LOG.debug(
        "placing task {} on {}: attempt={} term={} unaccounted={} counted before: {}",
        p.task(),
        p.host(),
        attempt.map(Attempt::number).orElse(0L),
        cluster.term(),
        cluster.unconfirmedCount(),
        p.counted());
  }

  /** One line for each team that its limit holds back in a cycle, however many jobs that is. */
  private void logLimited(Plan plan) {
    if (!LOG.isDebugEnabled()) {
      return;
    }
    Map<String, Plan.LimitedTasks> first = new LinkedHashMap<>();
    plan.limited().forEach(l -> first.putIfAbsent(l.job().team(), l));
    for (Plan.LimitedTasks l : first.values()) {
      LOG.debug(
          "limit holds back job={} tasks={} term={} unaccounted={} only_by_unaccounted={}"
              + " counted: {}",
          l.job().id(),
          l.tasks(),
          cluster.term(),
          cluster.unconfirmedCount(),
          l.unaccounted(),
          l.counted());
    }
  }
}
