package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Tests in which order the waiting tasks of teams are placed. */
class TeamOrderTest extends SchedulingTestBase {

  /**
   * Team G has a guarantee and team F already uses 4 CPUs. The machine has enough CPUs for one
   * task.
   */
  @ParameterizedTest
  @CsvSource({
    "G, STANDARD, 1, F, URGENT, 2, wk-1",
    "F, URGENT, 2, H, STANDARD, 1, wk-1",
    "F, STANDARD, 1, H, URGENT, 2, wk-2",
    "F, STANDARD, 1, F, URGENT, 2, wk-2",
    "F, STANDARD, 1, F, STANDARD, 2, wk-1",
    "F, STANDARD, 2, F, STANDARD, 1, wk-2",
    "F, STANDARD, 1, U, STANDARD, 2, wk-2"
  })
  void tasksAreOrderedByGuaranteeThenPriorityThenShareThenSubmission(
      String team1,
      Priority priority1,
      long order1,
      String team2,
      Priority priority2,
      long order2,
      String placedFirst) {
    addTeam("G", 8, 0);
    addTeam("F", 0, 0);
    addTeam("H", 0, 0);
    addTeam("U", 0, 0);
    team("F")
        .addLaunched(TestData.job("wk-9", "F", Priority.IDLE, 1, 4), SchedulingSettings.DEFAULTS);
    addMachine("one", 8);
    addWaitingJob(TestData.job("wk-1", team1, priority1, 1, 8), order1);
    addWaitingJob(TestData.job("wk-2", team2, priority2, 1, 8), order2);
    SchedulingPlan plan = run(0);
    assertEquals(List.of(placedFirst), placedJobs(plan));
    assertTrue(plan.preemptions().isEmpty());
  }

  /**
   * Guards against starting a task of lower priority that the next cycle would preempt. The
   * resources of a stopping task are assigned to the waiting task of higher priority in the same
   * cycle, although they are not free yet and the task of lower priority was submitted first.
   */
  @Test
  void lowerPriorityTaskIsNotPlacedWhileHigherPriorityTaskWaitsForReleasedResources() {
    addTeam("F", 0, 0);
    addTeam("H", 0, 0);
    MachineView machine = addMachine("one", 8);
    JobSpec stoppingJob = TestData.job("wk-1", "F", Priority.STANDARD, 1, 8);
    machine.add(new PlacedTask(new TaskId("wk-1", 0), stoppingJob, true, NOW));
    addWaitingJob(TestData.job("wk-3", "F", Priority.STANDARD, 1, 8), 1);
    team("H")
        .addLaunched(TestData.job("wk-8", "H", Priority.URGENT, 1, 4), SchedulingSettings.DEFAULTS);
    addWaitingJob(TestData.job("wk-2", "H", Priority.URGENT, 1, 8), 2);
    SchedulingPlan plan = run(0);
    assertTrue(plan.placements().isEmpty() && plan.preemptions().isEmpty());
    assertEquals(List.of("wk-3"), plan.unplaced().stream().map(tasks -> tasks.job().id()).toList());
  }
}
