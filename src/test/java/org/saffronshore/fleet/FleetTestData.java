package org.saffronshore.fleet;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.saffronshore.JobBuilder;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Priority;

/** Machine types and jobs shared by the tests of this package. */
final class FleetTestData {
  static final Map<String, MachineType> TYPES =
      Map.of(
          "small", new MachineType("small", 4, 0, 64, 50, 1, 0.32, 0.13, 40, List.of("a", "b")),
          "large", new MachineType("large", 16, 0, 64, 50, 1, 0.95, 0.37, 40, List.of("a")));

  private FleetTestData() {}

  /** Returns a job of 100 tasks that is restricted to a zone, or to none if the zone is null. */
  static JobSpec job(double cpus, boolean spot, @Nullable String zone) {
    return JobBuilder.job("wk-1", "red", Priority.URGENT)
        .tasks(100)
        .cpus(cpus)
        .zone(zone)
        .spot(spot)
        .deadlineS(100)
        .build();
  }
}
