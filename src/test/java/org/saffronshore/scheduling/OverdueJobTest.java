package org.saffronshore.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Priority;

class OverdueJobTest extends SchedulingTestBase {

  /**
   * Tasks of 8 CPUs of a standard job wait beside urgent tasks of 4 CPUs for one machine. Without
   * the rule for overdue jobs, the urgent tasks would use all released CPUs and the standard job
   * would never start. If the job is overdue, one of its tasks is placed first; while that task
   * does not fit, the machine is reserved for the job.
   *
   * @param freeCpus the free CPUs of the machine, which has 8 CPUs, or 16 if 16 are free
   * @param placed the priorities of the placed tasks, in order
   */
  @ParameterizedTest
  @CsvSource({
    "false, 8, urgent urgent",
    "true, 8, standard",
    "false, 4, urgent",
    "true, 4, ''",
    "true, 16, standard urgent urgent"
  })
  void overdueJobPlacesOneTaskBeforeUrgentJobsOrReservesTheMachine(
      boolean overdue, double freeCpus, String placed) {
    addTeam("F", 0, 0);
    addTeam("H", 0, 0);
    MachineView machine = addMachine("one", Math.max(8, freeCpus));
    if (freeCpus < 8) {
      addRunningTasks(machine, TestData.job("wk-9", "H", Priority.URGENT, 1, 8 - freeCpus), 0, 1);
    }
    PendingJob standard = addWaitingJob(TestData.job("wk-1", "F", Priority.STANDARD, 20, 8), 1);
    addWaitingJob(TestData.job("wk-2", "H", Priority.URGENT, 2, 4), 2);
    if (overdue) {
      standard.markOverdue();
    }
    assertEquals(
        placed,
        placedJobs(run(0)).stream()
            .map(job -> job.equals("wk-1") ? "standard" : "urgent")
            .collect(Collectors.joining(" ")));
  }
}
