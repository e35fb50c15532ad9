package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Tests on which machines waiting tasks are placed. */
class PlacementTest extends SchedulingTestBase {

  @Test
  void machinesOfTheTeamAreFilledBeforeSharedAndThenEmptyOnes() {
    addTeam("F", 0, 0);
    addTeam("H", 0, 0);
    MachineView own = addMachine("own", 8);
    MachineView shared = addMachine("shared", 8);
    addMachine("empty", 8);
    addRunningTasks(own, TestData.job("wk-1", "F", Priority.STANDARD, 1, 4), 0, 1);
    addRunningTasks(shared, TestData.job("wk-2", "H", Priority.STANDARD, 1, 4), 0, 1);
    addWaitingJob(TestData.job("wk-3", "F", Priority.STANDARD, 3, 4), 1);
    assertEquals(List.of("own", "shared", "empty"), machinesUsed(run(0)));
  }

  /**
   * The constraints of a job of 4 tasks, its team's CPU limit, and the number of tasks that are
   * placed in two zones. Without constraints, all 4 tasks fit.
   */
  @ParameterizedTest
  @CsvSource({
    "false, false, , true, 0, 4",
    "true, false, , true, 0, 4",
    "false, true, , true, 0, 4",
    "false, false, b, true, 0, 4",
    "false, false, c, true, 0, 0",
    "false, false, , false, 0, 2",
    "false, false, , true, 6, 2",
    "false, false, , true, 1, 0"
  })
  void tasksArePlacedOnlyWithinJobConstraintsAndTeamLimit(
      boolean singleZone,
      boolean spread,
      @Nullable String zone,
      boolean spot,
      double maxCpus,
      int placed) {
    addTeam("F", 0, maxCpus);
    addMachine("a", "a", true, 16);
    addMachine("b", "b", true, 16);
    addMachine("c", "a", false, 6);
    JobSpec job =
        JobBuilder.job("wk-1", "F", Priority.STANDARD)
            .tasks(4)
            .cpus(3)
            .zone(zone)
            .zoneConstraints(singleZone, spread)
            .spot(spot)
            .build();
    addWaitingJob(job, 1);
    List<String> used = machinesUsed(run(0));
    assertEquals(placed, used.size());
    Map<String, Integer> perZone = new HashMap<>();
    used.forEach(machine -> perZone.merge(machine.equals("b") ? "b" : "a", 1, Integer::sum));
    if (singleZone) {
      assertEquals(1, perZone.size());
    }
    if (spread) {
      assertTrue(perZone.values().stream().allMatch(tasks -> tasks <= 2));
    }
  }

  @Test
  void spreadJobPlacesNoTasksInZoneThatReachedItsLimitInEarlierCycles() {
    addTeam("F", 0, 0);
    addMachine("a", "a", false, 16);
    addMachine("b", "b", false, 16);
    JobSpec job =
        JobBuilder.job("wk-1", "F", Priority.STANDARD)
            .tasks(9)
            .zoneConstraints(false, true)
            .build();
    jobs.add(new PendingJob(job, 1, BitSet.valueOf(new long[] {0b1_1110_0000}), Map.of("a", 5)));
    assertTrue(machinesUsed(run(0)).stream().allMatch(machine -> machine.equals("b")));
  }

  @Test
  void taskIsNotPlacedOnMachineThatHasARecordOfIt() {
    addTeam("F", 0, 0);
    addMachine("a", "a", false, 16, new TaskId("wk-1", 0));
    addWaitingJob(TestData.job("wk-1", "F", Priority.STANDARD, 2, 1), 1);
    assertEquals(
        List.of(),
        run(0).placements().stream().filter(placement -> placement.task().index() == 0).toList());
  }
}
