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

/** Forecasts which tasks would start late on the machines that are up, booting or on order. */
final class CapacityForecast {
  /** A machine that has been booting for longer than this multiple of its boot time is ignored. */
  private static final double LATE_BOOT_FACTOR = 1.6;

  private final Cluster cluster;
  private final RentalOrders orders;

  CapacityForecast(Cluster cluster, RentalOrders orders) {
    this.cluster = cluster;
    this.orders = orders;
  }

  /**
   * Returns the timelines of free resources on the machines that are up, booting or on order.
   *
   * @param countReleases whether to include the resources that running tasks are expected to
   *     release
   */
  List<Forecast.MachineTimeline> timelines(boolean countReleases) {
    List<Forecast.MachineTimeline> timelines =
        cluster.capacity().machineTimelines(LATE_BOOT_FACTOR, countReleases);
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
   * Returns the tasks of the queue that would start too late. The timelines are modified.
   *
   * @param latestStart the latest acceptable start of a job's tasks, on the event loop's clock
   */
  List<SchedulingPlan.UnplacedTasks> lateTasks(
      List<Forecast.MachineTimeline> timelines,
      List<SchedulingPlan.UnplacedTasks> queue,
      ToDoubleFunction<JobSpec> latestStart) {
    return Forecast.lateTasks(timelines, queue, cluster.capacity()::expectedRuntimeS, latestStart);
  }
}
