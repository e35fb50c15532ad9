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
 * Decides which machines to rent: for tasks that could not be placed, for tasks that are expected
 * to arrive, and for tasks to be displaced because they occupy machines of a scarce type that other
 * tasks need.
 */
final class ScaleOut {
  /** The maximum acceptable wait of tasks with a wait objective, as a share of the boot time. */
  private static final double OBJECTIVE_BOOT_SHARE = 0.5;

  /**
   * Tasks are backlogged when they have waited for longer than this multiple of the boot time or of
   * their wait objective, whichever is longer. Tasks without a wait objective never count as
   * backlogged.
   */
  private static final double BACKLOG_FACTOR = 1.5;

  /** The maximum share of the event loop's time that planning may take. */
  private static final double MAX_PLANNING_SHARE = 0.1;

  /** The input of one run: the unplaced tasks, the number of machines per zone, and the time. */
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
   * Rents machines for unplaced, expected and displaced tasks. Does nothing if no tasks are
   * unplaced, the minimum interval since the last run has not elapsed, or the maximum number of
   * orders is in flight.
   *
   * @param unplaced the unplaced tasks, in queue order
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
    double planningTimeS = loop.now() - now;
    nextRunAt = loop.now() + Math.max(minIntervalS, planningTimeS / MAX_PLANNING_SHARE);
  }

  private Map<String, Integer> machinesPerZone() {
    Map<String, Integer> machinesPerZone = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      boolean exists = machine.isExistenceConfirmed() && !machine.hasFailed();
      if (exists && machine.zone() != null && !machine.isReturning()) {
        machinesPerZone.merge(machine.zone(), 1, Integer::sum);
      }
    }
    orders
        .inFlight()
        .forEach(order -> machinesPerZone.merge(order.kind().zone(), order.count(), Integer::sum));
    return machinesPerZone;
  }

  /**
   * Orders the cheapest machines for tasks, of kinds that are allowed and not in backoff.
   *
   * @param allowed restricts the machine kinds to those that suit the purpose of the order
   */
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
   * Rents machines for the tasks that are expected to arrive while a machine boots, queued behind
   * the waiting tasks. Without these machines, a queue that could just be cleared within one boot
   * time would not get shorter while tasks keep arriving. Only spot machines are rented unless
   * there is a backlog: on-demand machines for tasks that may not arrive cost more than the avoided
   * waits are worth.
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
   * Returns whether tasks have waited for much longer than the boot time and their wait objective.
   * The queue then does not clear, no matter how soon the forecast expects it to, and spot machines
   * are not sufficient.
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
   * Rents machines of other types for tasks that occupy machines of scarce types on which waiting
   * tasks depend, if these machines cost no more per CPU than the scarce ones.
   */
  private void rentForDisplacedTasks(List<SchedulingPlan.UnplacedTasks> late, Demand demand) {
    Map<String, MachineType> types = cluster.machineTypes();
    ScarceTypes scarce = ScarceTypes.find(types, backoff);
    if (scarce.names().isEmpty() || late.isEmpty() || scarce.names().size() == types.size()) {
      return;
    }
    List<SchedulingPlan.UnplacedTasks> displaced =
        DisplacedTasks.find(
            types, scarce.names(), late, cluster.capacity().tasksOnMachineTypes(scarce.names()));
    if (displaced.isEmpty()) {
      return;
    }
    // Only resources that are free now on the other machines are counted. Resources that running
    // tasks release will be used by similar tasks, which keep arriving.
    List<Forecast.MachineTimeline> otherTimelines =
        forecast.timelines(false).stream()
            .filter(timeline -> !scarce.contains(timeline.kind().type()))
            .toList();
    List<SchedulingPlan.UnplacedTasks> lateDisplaced =
        forecast.lateTasks(
            otherTimelines, displaced, job -> demand.now + bootTimes.shortestForS(job));
    placeOrders(lateDisplaced, demand, kind -> isAffordableAlternative(kind, types, scarce));
  }

  private static boolean isAffordableAlternative(
      MachineKind kind, Map<String, MachineType> types, ScarceTypes scarce) {
    MachineType type = types.get(kind.type());
    return type != null
        && !scarce.contains(kind.type())
        && scarce.isWithinPriceLimit(type, kind.spot());
  }
}
