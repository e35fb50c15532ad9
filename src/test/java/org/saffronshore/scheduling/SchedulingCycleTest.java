package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collections;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

class SchedulingCycleTest extends SchedulingTestBase {

  /**
   * The example from "Armada Scheduler": two machines with 32 cores each run 40 tasks of team A
   * when 50 tasks of team B arrive. Each team gets 32 cores, so that 8 tasks of A are preempted.
   */
  @Test
  void teamsWithEqualGuaranteesShareTwoMachinesAsInArmadaDesign() {
    addTeam("A", 32, 0);
    addTeam("B", 32, 0);
    JobSpec jobOfA = TestData.job("wk-1", "A", Priority.STANDARD, 40, 1);
    addRunningTasks(addMachine("one", 32), jobOfA, 0, 32);
    addRunningTasks(addMachine("two", 32), jobOfA, 32, 40);
    addWaitingJob(TestData.job("wk-2", "B", Priority.STANDARD, 50, 1), 2);
    SchedulingPlan plan = run(1);
    assertEquals(24, Collections.frequency(placedJobs(plan), "wk-2"));
    assertEquals(8, plan.preemptions().size());
    assertEquals(18, plan.unplaced().stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }
}
