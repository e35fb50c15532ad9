package org.saffronshore.autoscaling;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.saffronshore.autoscaling.RentalOrders.RentalOrder;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** Which tasks would start late on the machines that are up, booting or ordered. */
final class CapacityForecast {
  /** A boot that takes longer than this multiple of the usual time is not counted on. */
  private static final double LATE_BOOT_FACTOR = 1.6;

  private final Cluster cluster;
  private final RentalOrders orders;

  CapacityForecast(Cluster cluster, RentalOrders orders) {
    this.cluster = cluster;
    this.orders = orders;
  }

  /**
   * The machines that are up, booting or ordered, with what is free on them over time.
   *
   * @param countReleases whether to count what running tasks will release
   */
  List<Forecast.MachineTimeline> timelines(boolean countReleases) {
    List<Forecast.MachineTimeline> timelines =
        cluster.view().machineTimelines(LATE_BOOT_FACTOR, countReleases);
    for (RentalOrder order : orders.inFlight()) {
      MachineType type = cluster.machineTypes().get(order.kind().type());
      for (int i = 0; i < order.count() && type != null; i++) {
        timelines.add(
            new Forecast.MachineTimeline(
                order.kind(), Resources.capacityOf(type), order.requestedAt() + type.bootS()));
      }
    }
    return timelines;
  }

  /**
   * The tasks of the queue that would start too late.
   *
   * @param latestStart the latest acceptable start of a job's tasks, on the event loop's clock
   */
  List<SchedulingPlan.UnplacedTasks> lateTasks(
      List<Forecast.MachineTimeline> timelines,
      List<SchedulingPlan.UnplacedTasks> queue,
      ToDoubleFunction<JobSpec> latestStart) {
    return Forecast.lateTasks(timelines, queue, cluster::expectedRuntimeS, latestStart);
  }
}
