package org.saffronshore.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Priority;

class FleetTest {
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "small", new MachineType("small", 4, 0, 64, 50, 1, 0.32, 0.13, 40, List.of("a", "b")),
          "large", new MachineType("large", 16, 0, 64, 50, 1, 0.95, 0.37, 40, List.of("a")));

  private static JobSpec job(double cpus, boolean spot, String zone) {
    return JobBuilder.job("wk-1", "red", Priority.URGENT)
        .tasks(100)
        .cpus(cpus)
        .zone(zone)
        .spot(spot)
        .deadlineS(100)
        .build();
  }

  /** Tasks, CPUs of each, spot, zone, kinds that the cloud lacks; then what is rented. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "1 | 4 | true  |   |             | 1 spot small in a",
        "4 | 4 | true |   |  | 1 spot large in a",
        "1 | 8 | true  |   |             | 1 spot large in a",
        "1 | 4 | false |  |  | 1 ordinary small in a",
        "1 | 4 | true  | b |             | 1 spot small in b",
        "2 | 3 | true | b |  | 2 spot small in b",
        "1 | 4 | true  |   | spot small in a | 1 spot small in b",
        "1 | 8 | true  |   | spot large in a | 1 ordinary large in a",
        "1 | 17 | true |  |  | nothing"
      })
  void rentsTheCheapest(
      int tasks, double cpus, boolean spot, String zone, String lacking, String expected) {
    var orders =
        ScaleOutPlan.orders(
            TYPES,
            List.of(new SchedulingPlan.UnplacedTasks(job(cpus, spot, zone), tasks)),
            Map.of(),
            kind -> !kind.toString().equals(lacking));
    String text =
        orders.entrySet().stream()
            .map(e -> e.getValue() + " " + e.getKey())
            .collect(Collectors.joining(", "));
    assertEquals(expected, text.isEmpty() ? "nothing" : text);
  }

  @Test
  void spreadsOverZones() {
    var orders =
        ScaleOutPlan.orders(
            TYPES,
            List.of(new SchedulingPlan.UnplacedTasks(job(3, true, null), 4)),
            Map.of("a", 9),
            kind -> kind.type().equals("small"));
    assertEquals(Map.of(new MachineKind("small", "b", true), 4), orders);
  }

  /**
   * One machine of 8 CPUs whose room becomes free in so many seconds; a new machine would be there
   * in 40.
   */
  @ParameterizedTest
  @CsvSource({"10, 1, 0", "39, 1, 0", "41, 1, 1", "10, 3, 1", "10, 2, 0"})
  void countsOnWhatBecomesFree(double freeIn, int tasks, int late) {
    Resources room = new Resources(8, 0, 64);
    Forecast.MachineTimeline line =
        new Forecast.MachineTimeline(new MachineKind("small", "a", true), room, 0);
    JobSpec running = TestData.job("wk-2", "red", Priority.URGENT, 1, 8);
    room.subtract(running);
    line.running(running, freeIn);
    var left =
        Forecast.late(
            List.of(line),
            List.of(new SchedulingPlan.UnplacedTasks(job(4, true, null), tasks)),
            j -> 60,
            j -> 40);
    assertEquals(late, left.stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }

  /**
   * Small tasks on the large machine, what waits, and how many of the small ones are to go
   * elsewhere.
   */
  @ParameterizedTest
  @CsvSource({
    "8, 1, large, 2",
    "8, 9, large, 4",
    "4, 1, large, 0",
    "8, 1, '', 0",
    "17, 1, large, 0"
  })
  void whatStandsInTheWayGoesElsewhere(
      double waitingCpus, int waiting, String scarce, int displaced) {
    var found =
        DisplacedTasks.find(
            TYPES,
            Set.of(scarce),
            List.of(new SchedulingPlan.UnplacedTasks(job(waitingCpus, true, null), waiting)),
            List.of(
                new DisplacedTasks.Running("large", job(4, true, null), 4),
                new DisplacedTasks.Running("small", job(4, true, null), 4)));
    assertEquals(displaced, found.stream().mapToInt(SchedulingPlan.UnplacedTasks::tasks).sum());
  }

  @Test
  void expectsClassesThatStillCome() {
    ArrivalStatistics arrivals = new ArrivalStatistics(20);
    for (int i = 0; i < 4; i++) {
      arrivals.jobArrived(
          TestData.job("wk-" + i, "red", Priority.URGENT, 2 + 2 * (i % 2), 4), true, i * 10);
    }
    assertEquals(3, arrivals.expectedJobs(35, 1).get(0).tasks());
    assertEquals(List.of(), arrivals.expectedJobs(100, 1));
  }

  /**
   * 4 tasks every second for a time, or found waiting when the term began; how many are to come in
   * 10 s.
   */
  @ParameterizedTest
  @CsvSource({
    "true, 60, 0, 40",
    "true, 60, 10, 20",
    "true, 60, 40, 0",
    "false, 60, 0, 0",
    "true, 5, 0, 0"
  })
  void expectsTasksAsTheyCameLately(boolean fresh, int seconds, double ago, int expected) {
    ArrivalStatistics arrivals = new ArrivalStatistics(20);
    for (int i = 0; i < seconds; i++) {
      arrivals.jobArrived(TestData.job("wk-" + i, "red", Priority.URGENT, 4, 4), fresh, i);
    }
    int within =
        arrivals.expectedTasks(10, seconds + ago).stream()
            .mapToInt(SchedulingPlan.UnplacedTasks::tasks)
            .sum();
    assertEquals(expected, within, 3);
  }
}
