package org.saffronshore.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.fleet.ScaleOutPlan;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.MachineType;

/**
 * Decides what to rent: machines for tasks that found no place, for tasks that are expected to
 * arrive, and for tasks that occupy machines of a type that others need and the cloud lacks.
 */
final class ScaleOut {
  /** Tasks with a wait objective should wait for at most this share of the boot time. */
  private static final double OBJECTIVE_BOOT_SHARE = 0.5;

  /**
   * There is a backlog when tasks have waited for this multiple of the boot time or of their wait
   * objective, whichever is longer.
   */
  private static final double BACKLOG_FACTOR = 1.5;

  /** Planning may take this share of the time of the event loop. */
  private static final double MAX_PLANNING_SHARE = 0.1;

  /** What one run starts from: the queue, the machines of each zone, and the time. */
  private record Demand(
      List<SchedulingPlan.UnplacedTasks> unplaced,
      Map<String, Integer> machinesPerZone,
      double now) {}

  private final EventLoop loop;
  private final Cluster cluster;
  private final BootTimes bootTimes;
  private final WaitObjectives waitObjectives;
  private final RentalOrders orders;
  private final CapacityBackoff backoff;
  private final CapacityForecast forecast;
  private final double minIntervalS;
  private double nextRunAt = Double.NEGATIVE_INFINITY;

  ScaleOut(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      BootTimes bootTimes,
      RentalOrders orders,
      CapacityBackoff backoff) {
    this.loop = loop;
    this.cluster = cluster;
    this.bootTimes = bootTimes;
    this.waitObjectives = new WaitObjectives(settings);
    this.orders = orders;
    this.backoff = backoff;
    this.forecast = new CapacityForecast(cluster, orders);
    this.minIntervalS = settings.heartbeatIntervalS() / 12;
  }

  /**
   * Rents what is needed, unless the last run was a moment ago or too many orders are in flight.
   */
  void rentFor(List<SchedulingPlan.UnplacedTasks> unplaced) {
    double now = loop.now();
    if (unplaced.isEmpty() || now < nextRunAt || orders.isFull()) {
      return;
    }
    Demand demand = new Demand(unplaced, machinesPerZone(), now);
    List<SchedulingPlan.UnplacedTasks> late =
        forecast.lateTasks(
            forecast.timelines(true), unplaced, job -> now + bootTimes.shortestForS(job));
    placeOrders(late, demand, kind -> true);
    rentForExpectedArrivals(demand);
    rentForDisplacedTasks(late, demand);
    double tookS = loop.now() - now;
    nextRunAt = loop.now() + Math.max(minIntervalS, tookS / MAX_PLANNING_SHARE);
  }

  private Map<String, Integer> machinesPerZone() {
    Map<String, Integer> machinesPerZone = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.zone() != null && !machine.hasFailed() && !machine.isReturning()) {
        machinesPerZone.merge(machine.zone(), 1, Integer::sum);
      }
    }
    orders
        .inFlight()
        .forEach(order -> machinesPerZone.merge(order.kind().zone(), order.count(), Integer::sum));
    return machinesPerZone;
  }

  /** Orders the cheapest machines for some tasks, of kinds that may be requested. */
  private void placeOrders(
      List<SchedulingPlan.UnplacedTasks> tasks, Demand demand, Predicate<MachineKind> allowed) {
    ScaleOutPlan.orders(
            cluster.machineTypes(),
            tasks,
            demand.machinesPerZone,
            kind -> allowed.test(kind) && backoff.mayRequest(kind, demand.now))
        .forEach(orders::place);
  }

  /**
   * Rents for the tasks that are expected to arrive during a boot, queued behind those that wait. A
   * queue that would just be cleared in the time of a boot does not get shorter while tasks keep
   * arriving. Spot machines only: on-demand machines for tasks that may not arrive cost more than
   * the waits are worth, unless there is a backlog.
   */
  private void rentForExpectedArrivals(Demand demand) {
    List<SchedulingPlan.UnplacedTasks> queue = new ArrayList<>(demand.unplaced);
    queue.addAll(cluster.arrivals().expectedTasks(bootTimes.shortestS(), demand.now));
    List<SchedulingPlan.UnplacedTasks> late =
        forecast.lateTasks(
            forecast.timelines(true),
            queue,
            job -> demand.now + bootTimes.shortestForS(job) * acceptableBootShare(job));
    placeOrders(late, demand, MachineKind::spot);
    if (hasBacklog(demand.unplaced)) {
      List<SchedulingPlan.UnplacedTasks> stillLate =
          forecast.lateTasks(
              forecast.timelines(true), queue, job -> demand.now + bootTimes.shortestForS(job));
      placeOrders(stillLate, demand, kind -> true);
    }
  }

  private double acceptableBootShare(JobSpec job) {
    return waitObjectives.hasObjectiveFor(job) ? OBJECTIVE_BOOT_SHARE : 1;
  }

  /**
   * Whether tasks have waited for much longer than a boot takes and than their objective allows.
   * Then the queue does not clear, however soon it is forecast to, and spot machines are not
   * enough.
   */
  private boolean hasBacklog(List<SchedulingPlan.UnplacedTasks> unplaced) {
    return unplaced.stream().anyMatch(tasks -> isBacklogged(tasks.job()));
  }

  private boolean isBacklogged(JobSpec spec) {
    Job job = cluster.job(spec.id());
    return job != null
        && job.waitingTimeS(loop.wallClockMs())
            > BACKLOG_FACTOR
                * Math.max(bootTimes.shortestForS(spec), waitObjectives.shortestWaitS(spec));
  }

  /**
   * Rents other machines for tasks on machines of scarce types that waiting tasks need, where that
   * costs no more than the scarce machines do.
   */
  private void rentForDisplacedTasks(List<SchedulingPlan.UnplacedTasks> late, Demand demand) {
    Map<String, MachineType> types = cluster.machineTypes();
    ScarceTypes scarce = ScarceTypes.find(types, backoff);
    if (scarce.names().isEmpty() || late.isEmpty() || scarce.names().size() == types.size()) {
      return;
    }
    List<SchedulingPlan.UnplacedTasks> displaced =
        DisplacedTasks.find(
            types, scarce.names(), late, cluster.view().tasksOnMachineTypes(scarce.names()));
    if (displaced.isEmpty()) {
      return;
    }
    // What is free on the other machines now, not what will be released: tasks of the kind that
    // runs there keep arriving, and take that.
    List<Forecast.MachineTimeline> others =
        forecast.timelines(false).stream()
            .filter(timeline -> !scarce.contains(timeline.kind().type()))
            .toList();
    List<SchedulingPlan.UnplacedTasks> withoutPlace =
        forecast.lateTasks(others, displaced, job -> demand.now + bootTimes.shortestForS(job));
    placeOrders(withoutPlace, demand, kind -> isAffordableAlternative(kind, types, scarce));
  }

  private static boolean isAffordableAlternative(
      MachineKind kind, Map<String, MachineType> types, ScarceTypes scarce) {
    MachineType type = types.get(kind.type());
    return type != null
        && !scarce.contains(kind.type())
        && scarce.isWithinPriceLimit(type, kind.spot());
  }
}
