package org.saffronshore.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Priority;

class BootTimesTest {
  private static final Map<String, MachineType> TYPES =
      Map.of(
          "small", new MachineType("small", 4, 0, 64, 50, 1, 1, 1, 30, List.of("a")),
          "large", new MachineType("large", 16, 0, 64, 50, 1, 1, 1, 90, List.of("a")));

  private final Cluster cluster =
      new Cluster(new ManualEventLoop(), TestData.settings(), new FencingTokens(1), 1);
  private final BootTimes bootTimes = new BootTimes(TestData.settings(), cluster);

  private double shortestForTaskOf(double cpus) {
    return bootTimes.shortestForS(TestData.job("wk-1", "red", Priority.URGENT, 1, cpus));
  }

  @Test
  void knownTypesHaveTheirListedBootTimes() {
    cluster.machineTypes(TYPES);
    assertEquals(90, bootTimes.ofTypeS("large"));
    assertEquals(30, bootTimes.shortestS());
    assertEquals(90, bootTimes.longestS());
  }

  @Test
  void shortestBootTimeForJobConsidersOnlyTypesThatFitItsTasks() {
    cluster.machineTypes(TYPES);
    assertEquals(30, shortestForTaskOf(4));
    assertEquals(90, shortestForTaskOf(5));
    assertEquals(0, shortestForTaskOf(17));
  }

  @Test
  void unknownTypeHasBootTimeOfOneWorkerLease() {
    assertEquals(TestData.LEASE_S, bootTimes.ofTypeS(null));
    assertEquals(TestData.LEASE_S, bootTimes.ofTypeS("small"));
    assertEquals(TestData.LEASE_S, bootTimes.longestS());
    assertEquals(0, bootTimes.shortestS());
  }
}
