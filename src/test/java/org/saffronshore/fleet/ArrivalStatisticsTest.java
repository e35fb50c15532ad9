package org.saffronshore.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.Priority;

class ArrivalStatisticsTest {
  @Test
  void jobClassIsExpectedUntilItsMeanGapIsExceededSeveralTimes() {
    ArrivalStatistics arrivals = new ArrivalStatistics(20);
    for (int i = 0; i < 4; i++) {
      arrivals.recordJob(
          TestData.job("wk-" + i, "red", Priority.URGENT, 2 + 2 * (i % 2), 4), true, i * 10);
    }
    assertEquals(3, arrivals.expectedJobs(35, 1).get(0).tasks());
    assertEquals(List.of(), arrivals.expectedJobs(100, 1));
  }

  /**
   * Jobs of 4 tasks arrive every second for some time, either newly submitted or found waiting at
   * the start of the term.
   *
   * @param endedAgoS how long ago the arrivals ended
   * @param expected the number of tasks that are expected to arrive within 10 s
   */
  @ParameterizedTest
  @CsvSource({
    "true, 60, 0, 40",
    "true, 60, 10, 20",
    "true, 60, 40, 0",
    "false, 60, 0, 0",
    "true, 5, 0, 0"
  })
  void tasksAreExpectedAtLowerRateOfLastTwoWindows(
      boolean arrivedNow, int seconds, double endedAgoS, int expected) {
    ArrivalStatistics arrivals = new ArrivalStatistics(20);
    for (int i = 0; i < seconds; i++) {
      arrivals.recordJob(TestData.job("wk-" + i, "red", Priority.URGENT, 4, 4), arrivedNow, i);
    }
    int expectedTasks =
        arrivals.expectedTasks(10, seconds + endedAgoS).stream()
            .mapToInt(SchedulingPlan.UnplacedTasks::tasks)
            .sum();
    assertEquals(expected, expectedTasks, 3);
  }
}
