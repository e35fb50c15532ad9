package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.admin.Metrics;
import org.saffronshore.config.TeamQuota;
import org.saffronshore.scheduling.PendingJob;
import org.saffronshore.scheduling.SchedulingCycle;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** Metrics of the quota usage and of the scheduling cycles in which a quota limits tasks. */
class QuotaMetricsTest {
  private final Metrics metrics = new Metrics();
  private final QuotaMetrics quotaMetrics = new QuotaMetrics(metrics, List.of("red", "blue"));
  private final Team red = new Team(new TeamQuota("red", 0, 16, 0, 0), 1);

  private void runCycle() {
    JobSpec waitingJob = TestData.job("wk-9", "red", Priority.STANDARD, 2, 4);
    BitSet tasks = new BitSet();
    tasks.set(0, 2);
    SchedulingPlan plan =
        SchedulingCycle.run(
            List.of(),
            List.of(new PendingJob(waitingJob, 1, tasks, Map.of())),
            Map.of("red", red),
            SchedulingSettings.DEFAULTS,
            false,
            new Random(1),
            0);
    quotaMetrics.cycleCompleted(List.of(red), plan.quotaLimited());
  }

  private void assertMetric(String line) {
    String text = metrics.scrape();
    assertTrue(text.contains(line + "\n"), () -> "expected the line " + line + " in\n" + text);
  }

  /**
   * Two launched tasks use 8 of 16 CPUs; {@code possible} and {@code possiblyHeld} are CPUs of
   * tasks that unreconciled machines may hold.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0, 0",
    "8, 0, 0, 1",
    "0, 8, 0, 1",
    "4, 4, 0, 1",
  })
  void gaugesShowUsageAndLimitedCyclesAreCountedByCause(
      double possible, double possiblyHeld, int byKnown, int byUnreconciled) {
    JobSpec job = TestData.job("wk-1", "red", Priority.STANDARD, 2, 4);
    red.addLaunched(job, SchedulingSettings.DEFAULTS);
    red.addLaunched(job, SchedulingSettings.DEFAULTS);
    red.addRunning(job);
    red.addPossible(possible, 0);
    red.addUnattributed(possiblyHeld, 0);
    runCycle();
    assertMetric("saffronshore_team_cpus{kind=\"running\",team=\"red\"} 4.0");
    assertMetric("saffronshore_team_cpus{kind=\"launched\",team=\"red\"} 8.0");
    assertMetric("saffronshore_team_cpus{kind=\"possible\",team=\"red\"} " + possible);
    assertMetric("saffronshore_team_cpus{kind=\"possibly_held\",team=\"red\"} " + possiblyHeld);
    assertMetric("saffronshore_team_cpus{kind=\"limit\",team=\"red\"} 16.0");
    assertMetric("saffronshore_team_cpus{kind=\"limit\",team=\"blue\"} 0.0");
    assertLimitedCycles(byKnown, byUnreconciled);
  }

  /**
   * The launched tasks alone reach the quota, so the cycle is not limited by unreconciled machines.
   */
  @Test
  void cycleLimitedByKnownUsageAloneIsCountedAsKnown() {
    JobSpec job = TestData.job("wk-1", "red", Priority.STANDARD, 4, 4);
    for (int i = 0; i < job.tasks(); i++) {
      red.addLaunched(job, SchedulingSettings.DEFAULTS);
    }
    runCycle();
    assertLimitedCycles(1, 0);
    quotaMetrics.clear();
    assertMetric("saffronshore_team_cpus{kind=\"launched\",team=\"red\"} 0.0");
  }

  private void assertLimitedCycles(int byKnown, int byUnreconciled) {
    String name = "saffronshore_cycles_held_back_by_limit_total";
    assertMetric(name + "{by=\"known\",team=\"red\"} " + (double) byKnown);
    assertMetric(name + "{by=\"unaccounted\",team=\"red\"} " + (double) byUnreconciled);
  }
}
