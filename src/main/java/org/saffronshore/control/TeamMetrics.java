package org.saffronshore.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.saffronshore.admin.Metrics;
import org.saffronshore.scheduling.Plan;
import org.saffronshore.scheduling.Team;
import org.saffronshore.scheduling.TeamUse;

/**
 * What counts against each team's limit, and what the limits hold back, as metrics: of the last
 * cycle of this controller, and nothing while it does not lead.
 */
final class TeamMetrics {
  private final Map<String, TeamUse> latest = new HashMap<>();
  private final Map<String, HeldBack> heldBack = new HashMap<>();

  /** Cycles in which the limit held back a team's tasks, by whether all machines were known. */
  private static final class HeldBack {
    long byKnown;
    long byUnaccounted;
  }

  TeamMetrics(Metrics metrics, Collection<String> teams) {
    for (String team : teams) {
      gauge(metrics, team, "running", TeamUse.Amounts::running);
      gauge(metrics, team, "launched", TeamUse.Amounts::launched);
      gauge(metrics, team, "possible", TeamUse.Amounts::possible);
      gauge(metrics, team, "possibly_held", TeamUse.Amounts::possiblyHeld);
      gauge(metrics, team, "limit", TeamUse.Amounts::limit);
      HeldBack counts = new HeldBack();
      heldBack.put(team, counts);
      String name = "cycles_held_back_by_limit";
      metrics.counter(name, () -> counts.byKnown, "team", team, "by", "known");
      metrics.counter(name, () -> counts.byUnaccounted, "team", team, "by", "unaccounted");
    }
  }

  private void gauge(
      Metrics metrics, String team, String kind, ToDoubleFunction<TeamUse.Amounts> amount) {
    metrics.gauge("team_cpus", () -> cpus(team, amount), "team", team, "kind", kind);
    metrics.gauge("team_gpus", () -> gpus(team, amount), "team", team, "kind", kind);
  }

  private double cpus(String team, ToDoubleFunction<TeamUse.Amounts> amount) {
    TeamUse use = latest.get(team);
    return use == null ? 0 : amount.applyAsDouble(use.cpus());
  }

  private double gpus(String team, ToDoubleFunction<TeamUse.Amounts> amount) {
    TeamUse use = latest.get(team);
    return use == null ? 0 : amount.applyAsDouble(use.gpus());
  }

  /** A cycle has ended: what counts now, with what it placed. */
  void cycled(Collection<Team> teams, Collection<Plan.LimitedTasks> limited) {
    teams.forEach(team -> latest.put(team.use().team(), team.use()));
    Map<String, Boolean> byUnaccounted = new HashMap<>();
    limited.forEach(l -> byUnaccounted.merge(l.job().team(), l.unaccounted(), Boolean::logicalAnd));
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
