package org.saffronshore.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.fleet.FleetTestData.TYPES;
import static org.saffronshore.fleet.FleetTestData.job;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.scheduling.SchedulingPlan;

class DisplacedTasksTest {
  /**
   * Four tasks of 4 CPUs run on machines of each type.
   *
   * @param waitingCpus the CPUs of each waiting task
   * @param waiting the number of waiting tasks
   * @param scarce the scarce type
   * @param displaced the number of running tasks that are displaced
   */
  @ParameterizedTest
  @CsvSource({
    "8, 1, large, 2",
    "8, 9, large, 4",
    "4, 1, large, 0",
    "8, 1, '', 0",
    "17, 1, large, 0"
  })
  void tasksOnScarceTypeAreDisplacedUpToCpusNeededByWaitingTasks(
      double waitingCpus, int waiting, String scarce, int displaced) {
    var displacedTasks =
        DisplacedTasks.find(
            TYPES,
            Set.of(scarce),
            List.of(new SchedulingPlan.UnplacedTasks(job(waitingCpus, true, null), waiting)),
            List.of(
                new DisplacedTasks.Running("large", job(4, true, null), 4),
                new DisplacedTasks.Running("small", job(4, true, null), 4)));
    assertEquals(
        displaced, displacedTasks.stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }
}
