package org.saffronshore.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.saffronshore.admin.Metrics;
import org.saffronshore.scheduling.QuotaUsage;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.Team;

/**
 * What counts against each team's limit, and what the limits hold back, as metrics: of the last
 * cycle of this controller, and nothing while it does not lead.
 */
final class QuotaMetrics {
  private final Map<String, QuotaUsage> latest = new HashMap<>();
  private final Map<String, HeldBack> heldBack = new HashMap<>();

  /** Cycles in which the limit held back a team's tasks, by whether all machines were known. */
  private static final class HeldBack {
    long byKnown;
    long byUnaccounted;
  }

  QuotaMetrics(Metrics metrics, Collection<String> teams) {
    for (String team : teams) {
      gauge(metrics, team, "running", QuotaUsage.Amounts::running);
      gauge(metrics, team, "launched", QuotaUsage.Amounts::launched);
      gauge(metrics, team, "possible", QuotaUsage.Amounts::possible);
      gauge(metrics, team, "possibly_held", QuotaUsage.Amounts::unattributed);
      gauge(metrics, team, "limit", QuotaUsage.Amounts::limit);
      HeldBack counts = new HeldBack();
      heldBack.put(team, counts);
      String name = "cycles_held_back_by_limit";
      metrics.counter(name, () -> counts.byKnown, "team", team, "by", "known");
      metrics.counter(name, () -> counts.byUnaccounted, "team", team, "by", "unaccounted");
    }
  }

  private void gauge(
      Metrics metrics, String team, String kind, ToDoubleFunction<QuotaUsage.Amounts> amount) {
    metrics.gauge("team_cpus", () -> cpus(team, amount), "team", team, "kind", kind);
    metrics.gauge("team_gpus", () -> gpus(team, amount), "team", team, "kind", kind);
  }

  private double cpus(String team, ToDoubleFunction<QuotaUsage.Amounts> amount) {
    QuotaUsage use = latest.get(team);
    return use == null ? 0 : amount.applyAsDouble(use.cpus());
  }

  private double gpus(String team, ToDoubleFunction<QuotaUsage.Amounts> amount) {
    QuotaUsage use = latest.get(team);
    return use == null ? 0 : amount.applyAsDouble(use.gpus());
  }

  /** A cycle has ended: what counts now, with what it placed. */
  void cycleCompleted(
      Collection<Team> teams, Collection<SchedulingPlan.QuotaLimitedTasks> limited) {
    teams.forEach(team -> latest.put(team.quotaUsage().team(), team.quotaUsage()));
    Map<String, Boolean> byUnaccounted = new HashMap<>();
    limited.forEach(
        l -> byUnaccounted.merge(l.job().team(), l.onlyByUnreconciled(), Boolean::logicalAnd));
    byUnaccounted.forEach(
        (team, unaccounted) -> {
          HeldBack counts = heldBack.get(team);
          if (unaccounted) {
            counts.byUnaccounted++;
          } else {
            counts.byKnown++;
          }
        });
  }

  /** This controller does not lead any more. */
  void clear() {
    latest.clear();
  }
}
