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

/** What the limits count, and whom they hold back, as operators see it. */
class QuotaMetricsTest {
  private final Metrics metrics = new Metrics();
  private final QuotaMetrics teamMetrics = new QuotaMetrics(metrics, List.of("red", "blue"));
  private final Team red = new Team(new TeamQuota("red", 0, 16, 0, 0), 1);

  private void cycle() {
    JobSpec waits = TestData.job("wk-9", "red", Priority.STANDARD, 2, 4);
    BitSet tasks = new BitSet();
    tasks.set(0, 2);
    SchedulingPlan plan =
        SchedulingCycle.run(
            List.of(),
            List.of(new PendingJob(waits, 1, tasks, Map.of())),
            Map.of("red", red),
            SchedulingSettings.DEFAULTS,
            false,
            new Random(1),
            0);
    teamMetrics.cycleCompleted(List.of(red), plan.quotaLimited());
  }

  private void assertTells(String line) {
    String text = metrics.scrape();
    assertTrue(text.contains(line + "\n"), () -> line + " is not in\n" + text);
  }

  /** Two tasks of 4 CPUs are launched of 16; the rest is what unaccounted machines may hold. */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0, 0",
    "8, 0, 0, 1",
    "0, 8, 0, 1",
    "4, 4, 0, 1",
  })
  void tellsWhatCountsAndWhatItHoldsBack(
      double possible, double possiblyHeld, int byKnown, int byUnaccounted) {
    JobSpec job = TestData.job("wk-1", "red", Priority.STANDARD, 2, 4);
    red.addLaunched(job, SchedulingSettings.DEFAULTS);
    red.addLaunched(job, SchedulingSettings.DEFAULTS);
    red.addRunning(job);
    red.addPossible(possible, 0);
    red.addUnattributed(possiblyHeld, 0);
    cycle();
    assertTells("saffronshore_team_cpus{kind=\"running\",team=\"red\"} 4.0");
    assertTells("saffronshore_team_cpus{kind=\"launched\",team=\"red\"} 8.0");
    assertTells("saffronshore_team_cpus{kind=\"possible\",team=\"red\"} " + possible);
    assertTells("saffronshore_team_cpus{kind=\"possibly_held\",team=\"red\"} " + possiblyHeld);
    assertTells("saffronshore_team_cpus{kind=\"limit\",team=\"red\"} 16.0");
    assertTells("saffronshore_team_cpus{kind=\"limit\",team=\"blue\"} 0.0");
    assertHeldBack(byKnown, byUnaccounted);
  }

  /** What is on machines alone reaches the limit: that is no matter of unaccounted machines. */
  @Test
  void tellsWhenTheLimitItselfHoldsBack() {
    JobSpec job = TestData.job("wk-1", "red", Priority.STANDARD, 4, 4);
    for (int i = 0; i < job.tasks(); i++) {
      red.addLaunched(job, SchedulingSettings.DEFAULTS);
    }
    cycle();
    assertHeldBack(1, 0);
    teamMetrics.clear();
    assertTells("saffronshore_team_cpus{kind=\"launched\",team=\"red\"} 0.0");
  }

  private void assertHeldBack(int byKnown, int byUnaccounted) {
    String name = "saffronshore_cycles_held_back_by_limit_total";
    assertTells(name + "{by=\"known\",team=\"red\"} " + (double) byKnown);
    assertTells(name + "{by=\"unaccounted\",team=\"red\"} " + (double) byUnaccounted);
  }
}
