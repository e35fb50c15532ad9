package org.saffronshore.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.fleet.FleetTestData.TYPES;
import static org.saffronshore.fleet.FleetTestData.job;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.MachineKind;

class ScaleOutPlanTest {
  /**
   * The number of tasks, the CPUs of each, whether they allow spot machines, their zone, the kind
   * of machine that the cloud has none of, and the expected orders.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "1 | 4 | true  |   |             | 1 spot small in a",
        "4 | 4 | true |   |  | 1 spot large in a",
        "1 | 8 | true  |   |             | 1 spot large in a",
        "1 | 4 | false |  |  | 1 on-demand small in a",
        "1 | 4 | true  | b |             | 1 spot small in b",
        "2 | 3 | true | b |  | 2 spot small in b",
        "1 | 4 | true  |   | spot small in a | 1 spot small in b",
        "1 | 8 | true  |   | spot large in a | 1 on-demand large in a",
        "1 | 17 | true |  |  | nothing"
      })
  void cheapestMachinesAllowedByJobAreOrdered(
      int tasks, double cpus, boolean spot, String zone, String unavailable, String expected) {
    var orders =
        ScaleOutPlan.orders(
            TYPES,
            List.of(new SchedulingPlan.UnplacedTasks(job(cpus, spot, zone), tasks)),
            Map.of(),
            kind -> !kind.toString().equals(unavailable));
    String text =
        orders.entrySet().stream()
            .map(e -> e.getValue() + " " + e.getKey())
            .collect(Collectors.joining(", "));
    assertEquals(expected, text.isEmpty() ? "nothing" : text);
  }

  @Test
  void zoneWithFewestMachinesIsChosen() {
    var orders =
        ScaleOutPlan.orders(
            TYPES,
            List.of(new SchedulingPlan.UnplacedTasks(job(3, true, null), 4)),
            Map.of("a", 9),
            kind -> kind.type().equals("small"));
    assertEquals(Map.of(new MachineKind("small", "b", true), 4), orders);
  }
}
