package org.saffronshore.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.admin.Metrics;
import org.saffronshore.scheduling.QuotaUsage;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.Team;

/**
 * Metrics of each team's quota: the usage that counted against it in the latest scheduling cycle of
 * this controller, 0 while it does not lead, and the number of cycles in which the quota limited
 * the team's tasks.
 */
@NullMarked
final class QuotaMetrics {
  private static final String LIMITED_CYCLES = "cycles_held_back_by_limit";

  private final Map<String, QuotaUsage> latestUsage = new HashMap<>();
  private final Map<String, LimitedCycles> limitedCycles = new HashMap<>();

  /** The numbers of cycles in which a team's quota limited its tasks, by the cause. */
  private static final class LimitedCycles {
    /** The usage by known tasks was sufficient to limit them. */
    long byKnown;

    /** Only the usage by tasks that unreconciled machines may hold limited them. */
    long byUnreconciled;
  }

  /** Registers the metrics of all teams. */
  QuotaMetrics(Metrics metrics, Collection<String> teams) {
    for (String team : teams) {
      registerGauges(metrics, team, "running", QuotaUsage.Amounts::running);
      registerGauges(metrics, team, "launched", QuotaUsage.Amounts::launched);
      registerGauges(metrics, team, "possible", QuotaUsage.Amounts::possible);
      registerGauges(metrics, team, "possibly_held", QuotaUsage.Amounts::unattributed);
      registerGauges(metrics, team, "limit", QuotaUsage.Amounts::limit);
      LimitedCycles cycles = new LimitedCycles();
      limitedCycles.put(team, cycles);
      metrics.counter(LIMITED_CYCLES, () -> cycles.byKnown, "team", team, "by", "known");
      metrics.counter(
          LIMITED_CYCLES, () -> cycles.byUnreconciled, "team", team, "by", "unaccounted");
    }
  }

  private void registerGauges(
      Metrics metrics, String team, String kind, ToDoubleFunction<QuotaUsage.Amounts> amount) {
    metrics.gauge(
        "team_cpus", () -> amount(team, QuotaUsage::cpus, amount), "team", team, "kind", kind);
    metrics.gauge(
        "team_gpus", () -> amount(team, QuotaUsage::gpus, amount), "team", team, "kind", kind);
  }

  private double amount(
      String team,
      Function<QuotaUsage, QuotaUsage.Amounts> resource,
      ToDoubleFunction<QuotaUsage.Amounts> amount) {
    QuotaUsage usage = latestUsage.get(team);
    return usage == null ? 0 : amount.applyAsDouble(resource.apply(usage));
  }

  /** Records the quota usage after a cycle, including the placed tasks, and the limited teams. */
  void cycleCompleted(
      Collection<Team> teams, Collection<SchedulingPlan.QuotaLimitedTasks> limitedTasks) {
    teams.forEach(team -> latestUsage.put(team.quotaUsage().team(), team.quotaUsage()));
    Map<String, Boolean> onlyByUnreconciled = new HashMap<>();
    limitedTasks.forEach(
        limited ->
            onlyByUnreconciled.merge(
                limited.job().team(), limited.onlyByUnreconciled(), Boolean::logicalAnd));
    onlyByUnreconciled.forEach(this::countLimitedCycle);
  }

  private void countLimitedCycle(String team, boolean onlyByUnreconciled) {
    LimitedCycles cycles = Objects.requireNonNull(limitedCycles.get(team), team);
    if (onlyByUnreconciled) {
      cycles.byUnreconciled++;
    } else {
      cycles.byKnown++;
    }
  }

  /** Clears the usage when this controller stops leading; the numbers of cycles are kept. */
  void clear() {
    latestUsage.clear();
  }
}
