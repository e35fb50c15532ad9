package org.saffronshore.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.fleet.FleetTestData.job;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.Priority;

class ForecastTest {
  /**
   * Tasks of 4 CPUs wait for one machine whose 8 CPUs are in use. A new machine would be up after
   * 40 s.
   *
   * @param releasedAfterS when the running task releases the 8 CPUs
   * @param tasks the number of waiting tasks
   * @param late the number of waiting tasks that are late
   */
  @ParameterizedTest
  @CsvSource({"10, 1, 0", "39, 1, 0", "41, 1, 1", "10, 3, 1", "10, 2, 0"})
  void tasksAreLateUnlessRunningTaskReleasesResourcesBeforeNewMachineBoots(
      double releasedAfterS, int tasks, int late) {
    Resources free = new Resources(8, 0, 64);
    Forecast.MachineTimeline timeline =
        new Forecast.MachineTimeline(new MachineKind("small", "a", true), free, 0);
    JobSpec running = TestData.job("wk-2", "red", Priority.URGENT, 1, 8);
    free.subtract(running);
    timeline.addRunningTask(running, releasedAfterS);
    var lateTasks =
        Forecast.lateTasks(
            List.of(timeline),
            List.of(new SchedulingPlan.UnplacedTasks(job(4, true, null), tasks)),
            j -> 60,
            j -> 40);
    assertEquals(late, lateTasks.stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }
}
