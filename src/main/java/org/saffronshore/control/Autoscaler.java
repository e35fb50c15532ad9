package org.saffronshore.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cloud.RentalResult;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.fleet.MachineKind;
import org.saffronshore.fleet.ScaleOutPlan;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the rented machines in line with what the tasks need, for one term. */
final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

  /** Boots later than this, as a multiple of the usual time, are not counted on. */
  private static final double LATE_BOOT = 1.6;

  /**
   * Tasks whose wait users mind should wait for this share of the time that a boot takes at the
   * most.
   */
  private static final double MINDED_WAIT = 0.5;

  /**
   * A queue stands when tasks in it have waited for so many times the boot, or the wait that users
   * wish.
   */
  private static final double STANDING_WAIT = 1.5;

  /** Working out what to rent may take this share of the time. */
  private static final double RENT_SHARE = 0.1;

  private record Order(String name, MachineKind kind, int count, double askedAt) {}

  private static final class Refusal {
    double until;
    double pause;
  }

  private final EventLoop loop;
  private final Settings settings;
  private final CloudClient cloud;
  private final Metrics metrics;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final MachineListPoller machineList;
  private final Consolidation consolidation;
  private final ScaleIn returner;
  private final Map<String, Order> orders = new LinkedHashMap<>();
  private final Map<MachineKind, Refusal> refusals = new HashMap<>();
  private List<SchedulingPlan.UnplacedTasks> unplaced = List.of();
  private double rentAgainAt = Double.NEGATIVE_INFINITY;
  private long lastName;

  Autoscaler(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      Metrics metrics,
      LeaderTerm term,
      Cluster cluster) {
    this.loop = loop;
    this.settings = settings;
    this.cloud = cloud;
    this.metrics = metrics;
    this.term = term;
    this.cluster = cluster;
    this.machineList = new MachineListPoller(loop, cloud, term, cluster);
    this.consolidation = new Consolidation(loop, cluster);
    this.returner = new ScaleIn(loop, settings, cloud, metrics, term, cluster, refusals::remove);
  }

  void start() {
    machineList.poll();
    term.repeatWhileActive(
        Math.max(settings.heartbeatIntervalS(), 2 / settings.cloudRequestsPerS()),
        machineList::poll);
    term.repeatWhileActive(settings.heartbeatIntervalS() / 3, this::reconcile);
  }

  /** What the last cycle found no place for. */
  void tasksUnplaced(List<SchedulingPlan.UnplacedTasks> nowUnmet) {
    unplaced = nowUnmet;
    rent();
  }

  private void reconcile() {
    if (!term.isLoaded()) {
      return;
    }
    returner.returnUnneeded();
    rent();
    if (unplaced.isEmpty()) {
      consolidation.drainUnderused();
    }
  }

  // Renting

  /**
   * An earlier leader's latest machines are in no list yet: renting for the same need again would
   * be waste.
   */
  private boolean mayRent() {
    return term.isActive()
        && term.isLoaded()
        && machineList.complete()
        && (term.number() == 1 || loop.now() > cluster.startedAt() + settings.cloudListLagS());
  }

  private void rent() {
    double now = loop.now();
    if (!mayRent() || unplaced.isEmpty() || now < rentAgainAt || orders.size() >= maxOrders()) {
      return;
    }
    Map<String, Integer> perZone = new HashMap<>();
    for (Machine m : cluster.machines()) {
      if (m.zone() != null && !m.hasFailed() && !m.isReturning()) {
        perZone.merge(m.zone(), 1, Integer::sum);
      }
    }
    orders.values().forEach(o -> perZone.merge(o.kind.zone(), o.count, Integer::sum));
    List<SchedulingPlan.UnplacedTasks> late =
        Forecast.late(lines(true), unplaced, cluster::expectedRuntimeS, job -> now + boot(job));
    ScaleOutPlan.orders(cluster.machineTypes(), late, perZone, kind -> available(kind, now))
        .forEach(this::order);
    rentForExpectedArrivals(perZone, now);
    rentForDisplacedTasks(late, perZone, now);
    double took = loop.now() - now;
    rentAgainAt = loop.now() + Math.max(settings.heartbeatIntervalS() / 12, took / RENT_SHARE);
  }

  /** Machines that are up, coming or asked for. */
  private List<Forecast.MachineTimeline> lines(boolean released) {
    List<Forecast.MachineTimeline> lines = cluster.view().machineTimelines(LATE_BOOT, released);
    for (Order o : orders.values()) {
      MachineType type = cluster.machineTypes().get(o.kind.type());
      for (int i = 0; i < o.count && type != null; i++) {
        lines.add(
            new Forecast.MachineTimeline(
                o.kind, Resources.capacityOf(type), o.askedAt + type.bootS()));
      }
    }
    return lines;
  }

  /**
   * Rents for tasks that stand in the way of others, where that is no dearer than what they stand
   * on.
   */
  private void rentForDisplacedTasks(
      List<SchedulingPlan.UnplacedTasks> late, Map<String, Integer> perZone, double now) {
    Set<String> scarce = new HashSet<>();
    double dearest = 0;
    for (MachineType type : cluster.machineTypes().values()) {
      if (type.zones().stream()
          .allMatch(
              zone ->
                  refusals.containsKey(new MachineKind(type.name(), zone, true))
                      && refusals.containsKey(new MachineKind(type.name(), zone, false)))) {
        scarce.add(type.name());
        dearest = Math.max(dearest, type.pricePerHour() / type.cpus());
      }
    }
    if (scarce.isEmpty() || late.isEmpty() || scarce.size() == cluster.machineTypes().size()) {
      return;
    }
    double limit = dearest;
    List<SchedulingPlan.UnplacedTasks> displaced =
        DisplacedTasks.find(
            cluster.machineTypes(), scarce, late, cluster.view().tasksOnMachineTypes(scarce));
    if (displaced.isEmpty()) {
      return;
    }
    // What is free on the others now, not what will be: their own like goes on coming, and takes
    // that.
    List<Forecast.MachineTimeline> others =
        lines(false).stream().filter(l -> !scarce.contains(l.kind().type())).toList();
    List<SchedulingPlan.UnplacedTasks> homeless =
        Forecast.late(others, displaced, cluster::expectedRuntimeS, job -> now + boot(job));
    ScaleOutPlan.orders(
            cluster.machineTypes(),
            homeless,
            perZone,
            kind -> {
              MachineType type = cluster.machineTypes().get(kind.type());
              double price = kind.spot() ? type.spotPricePerHour() : type.pricePerHour();
              return !scarce.contains(kind.type())
                  && available(kind, now)
                  && price / type.cpus() <= limit;
            })
        .forEach(this::order);
  }

  /**
   * What the cloud takes in about two seconds: more would only wait here, and be out of date by
   * then.
   */
  private int maxOrders() {
    return (int) Math.max(2, 2 * settings.cloudRequestsPerS());
  }

  /**
   * A queue that just clears in the time of a boot stands for as long as its like keeps coming: so
   * what is to come in that time counts as well, behind what is there, and where users mind the
   * wait it is to be short. Cheap machines only: ordinary ones for what may not come cost more than
   * the waits are worth.
   */
  private void rentForExpectedArrivals(Map<String, Integer> perZone, double now) {
    List<SchedulingPlan.UnplacedTasks> queue = new ArrayList<>(unplaced);
    queue.addAll(cluster.arrivals().expectedTasks(boot(), now));
    List<SchedulingPlan.UnplacedTasks> late =
        Forecast.late(
            lines(true),
            queue,
            cluster::expectedRuntimeS,
            job -> now + boot(job) * (waitMinded(job) ? MINDED_WAIT : 1));
    ScaleOutPlan.orders(
            cluster.machineTypes(), late, perZone, kind -> kind.spot() && available(kind, now))
        .forEach(this::order);
    if (queueStands()) {
      List<SchedulingPlan.UnplacedTasks> beyond =
          Forecast.late(lines(true), queue, cluster::expectedRuntimeS, job -> now + boot(job));
      ScaleOutPlan.orders(cluster.machineTypes(), beyond, perZone, kind -> available(kind, now))
          .forEach(this::order);
    }
  }

  /**
   * Whether tasks have waited for much longer than users wish, and than a boot takes: then what
   * waits does not clear, however soon it is foretold to, and the cheap machines are not enough.
   */
  private boolean queueStands() {
    return unplaced.stream()
        .anyMatch(
            u -> {
              Job job = cluster.job(u.job().id());
              return job != null
                  && job.waitingTimeS(loop.wallClockMs())
                      > STANDING_WAIT * Math.max(boot(u.job()), wishedWaitS(u.job()));
            });
  }

  /** Whether users have an aim for how long tasks of this class wait. */
  private boolean waitMinded(JobSpec job) {
    return wishedWaitS(job) < Double.POSITIVE_INFINITY;
  }

  /** The shortest wait that users have an aim for, for tasks of this class. */
  private double wishedWaitS(JobSpec job) {
    return settings.objectives().stream()
        .filter(o -> o.kind().equals("wait") && job.jobClass().equals(o.jobClass()))
        .mapToDouble(Settings.Objective::withinS)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }

  private double boot() {
    return cluster.machineTypes().values().stream().mapToDouble(MachineType::bootS).min().orElse(0);
  }

  /** How long the quickest machine for a job takes to be up. */
  private double boot(JobSpec job) {
    return cluster.machineTypes().values().stream()
        .filter(t -> t.fits(job))
        .mapToDouble(MachineType::bootS)
        .min()
        .orElse(0);
  }

  private boolean available(MachineKind kind, double now) {
    Refusal r = refusals.get(kind);
    return r == null || now >= r.until;
  }

  private void order(MachineKind kind, int count) {
    for (int left = count;
        left > 0 && orders.size() < maxOrders() && term.isActive();
        left -= CloudClient.MAX_MACHINES_RENTED) {
      Order order =
          new Order(
              "r-" + term.number() + "-" + ++lastName,
              kind,
              Math.min(left, CloudClient.MAX_MACHINES_RENTED),
              loop.now());
      orders.put(order.name, order);
      ask(order);
    }
  }

  private void ask(Order order) {
    cloud.rentMachines(order.name, order.kind, order.count, result -> answered(order, result));
  }

  private void answered(Order order, RentalResult result) {
    boolean unknown = result.outcome() == RentalResult.Outcome.UNKNOWN;
    if (unknown && term.isActive()) {
      // It may have been carried out: only the same name again tells, and rents nothing twice.
      loop.schedule(settings.heartbeatIntervalS() / 3, () -> ask(order));
      return;
    }
    orders.remove(order.name);
    switch (result.outcome()) {
      case RENTED -> rented(order, result.machines());
      case NO_CAPACITY -> {
        LOG.info("the cloud has no {}", order.kind);
        refused(order.kind);
      }
      case MALFORMED -> {
        LOG.error("the cloud calls the order of {} {} malformed", order.count, order.kind);
        refused(order.kind);
      }
      default -> LOG.debug("order {} is left to the next leader", order.name);
    }
  }

  private void rented(Order order, List<String> names) {
    LOG.debug("rented {} of {} {}: tasks wait for room", names.size(), order.count, order.kind);
    metrics.increment(Metrics.Counter.RENTED, names.size());
    for (String name : names) {
      cluster.machineRented(
          name, order.kind.type(), order.kind.zone(), order.kind.spot(), order.askedAt);
    }
    if (names.size() < order.count) {
      refused(order.kind);
    } else {
      refusals.remove(order.kind);
    }
  }

  private void refused(MachineKind kind) {
    MachineType type = cluster.machineTypes().get(kind.type());
    double boot = type == null ? settings.workerLeaseS() : type.bootS();
    Refusal r = refusals.computeIfAbsent(kind, k -> new Refusal());
    r.pause = Math.min(boot, Math.max(boot / 8, r.pause * 2));
    r.until = loop.now() + r.pause;
  }
}
