package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.wire.Priority;

/** Tests which running tasks are preempted or evicted for others. */
class PreemptionTest extends SchedulingTestBase {

  /**
   * The task that runs on the only machine, the task that waits, and whether the running task may
   * be preempted. Team G has a guarantee; the other teams have none.
   */
  @ParameterizedTest
  @CsvSource({
    "F, STANDARD, H, URGENT, true",
    "F, URGENT, H, URGENT, false",
    "F, URGENT, H, STANDARD, false",
    "F, STANDARD, G, STANDARD, true",
    "F, URGENT, G, STANDARD, true",
    "G, STANDARD, F, URGENT, false",
    "G, STANDARD, G, URGENT, true",
    "F, STANDARD, F, STANDARD, false"
  })
  void runningTaskIsPreemptedOnlyForHigherPriorityOrGuaranteeOfAnotherTeam(
      String runningTeam,
      Priority runningPriority,
      String waitingTeam,
      Priority waitingPriority,
      boolean preempted) {
    addTeam("G", 8, 0);
    addTeam("F", 0, 0);
    addTeam("H", 0, 0);
    addRunningTasks(
        addMachine("one", 8), TestData.job("wk-1", runningTeam, runningPriority, 1, 8), 0, 1);
    addWaitingJob(TestData.job("wk-2", waitingTeam, waitingPriority, 1, 8), 2);
    for (double evictionProbability : new double[] {0, 1}) {
      SchedulingPlan plan = run(evictionProbability);
      assertEquals(preempted, !plan.preemptions().isEmpty());
      assertEquals(0, plan.placements().size(), "no task starts before the resources are free");
      if (preempted) {
        return;
      }
    }
  }

  /**
   * Guards against a team that exceeds its limit. An evicted task remains on its machine until it
   * has stopped. If an eviction, which is only in memory, reduced the usage of the team, its
   * waiting urgent task would be started on another machine in addition.
   */
  @Test
  void evictedTaskCountsAgainstTeamLimit() {
    addTeam("F", 0, 16);
    addTeam("G", 8, 0);
    addRunningTasks(
        addMachine("one", 16), TestData.job("wk-1", "F", Priority.STANDARD, 2, 8), 0, 2);
    addMachine("two", 8);
    addWaitingJob(TestData.job("wk-2", "F", Priority.URGENT, 1, 8), 1);
    addWaitingJob(JobBuilder.job("wk-3", "G", Priority.STANDARD).cpus(8).zone("b").build(), 2);
    assertEquals(List.of(), run(1).placements());
  }

  /** The texts appear in log lines and must not change. */
  @Test
  void preemptionReasonIsFormattedForLogLines() {
    assertEquals(
        List.of("another team's guarantee", "the guarantee of G", "higher priority of wk-1"),
        List.of(
            new PreemptionReason.EvictedForGuarantee().toString(),
            new PreemptionReason.Guarantee("G").toString(),
            new PreemptionReason.HigherPriority("wk-1").toString()));
  }
}
