package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.MachineType;

/** Calculates what to rent for tasks that found no place. A pure function. */
public final class ScaleOutPlan {
  /** A machine with fewer CPUs free counts as full. */
  private static final double MIN_FREE_CPUS = 1e-6;

  /** Tasks count with at least this many CPUs, so that a machine's value is never 0. */
  private static final double MIN_CPUS_PER_TASK = 1e-3;

  /** A machine that the plan adds. */
  private static final class PlannedMachine {
    final MachineKind kind;
    final Resources free;

    PlannedMachine(MachineKind kind, MachineType type) {
      this.kind = kind;
      this.free = Resources.capacityOf(type);
    }

    /** Places as many tasks of a job as fit, up to a number; returns how many. */
    int place(JobSpec job, int maxTasks) {
      int placed = 0;
      while (placed < maxTasks && free.fits(job) && kind.allows(job)) {
        free.subtract(job);
        placed++;
      }
      return placed;
    }
  }

  /** A machine type in a zone, spot or not, that could be rented next. */
  private record Candidate(MachineKind kind, MachineType type) {
    double pricePerHour() {
      return kind.spot() ? type.spotPricePerHour() : type.pricePerHour();
    }
  }

  private final Map<String, MachineType> types;
  private final Predicate<MachineKind> available;
  private final Map<String, Integer> machinesPerZone;
  private final List<PlannedMachine> machines = new ArrayList<>();
  private final Map<MachineKind, Integer> orders = new LinkedHashMap<>();

  private ScaleOutPlan(
      Map<String, MachineType> types,
      Predicate<MachineKind> available,
      Map<String, Integer> machinesPerZone) {
    this.types = types;
    this.available = available;
    this.machinesPerZone = new HashMap<>(machinesPerZone);
  }

  /**
   * Calculates how many machines of each kind to rent; the kinds are in the order of renting.
   *
   * @param machinesPerZone how many machines each zone has, so that new ones go where there are
   *     fewest
   * @param available whether the cloud is thought to have machines of a kind
   */
  public static Map<MachineKind, Integer> orders(
      Map<String, MachineType> types,
      List<SchedulingPlan.UnplacedTasks> unplaced,
      Map<String, Integer> machinesPerZone,
      Predicate<MachineKind> available) {
    ScaleOutPlan plan = new ScaleOutPlan(types, available, machinesPerZone);
    // Large tasks first: small ones then fill the gaps, and fewer machines do.
    List<SchedulingPlan.UnplacedTasks> largestFirst = new ArrayList<>(unplaced);
    largestFirst.sort(
        Comparator.comparingDouble((SchedulingPlan.UnplacedTasks tasks) -> -tasks.job().cpus()));
    for (int i = 0; i < largestFirst.size(); i++) {
      plan.planMachinesFor(largestFirst, i);
    }
    return plan.orders;
  }

  /** Plans machines for one group of tasks, after the groups before it. */
  private void planMachinesFor(List<SchedulingPlan.UnplacedTasks> groups, int index) {
    JobSpec job = groups.get(index).job();
    int left = groups.get(index).tasks();
    for (PlannedMachine machine : machines) {
      left -= machine.place(job, left);
    }
    while (left > 0) {
      Candidate candidate = cheapestCandidate(groups, index, left);
      if (candidate == null) {
        return;
      }
      MachineKind kind = candidate.kind;
      PlannedMachine machine = new PlannedMachine(kind, candidate.type);
      left -= machine.place(job, left);
      machines.add(machine);
      orders.merge(kind, 1, Integer::sum);
      machinesPerZone.merge(kind.zone(), 1, Integer::sum);
    }
  }

  /**
   * The candidate with the lowest price for the CPUs of the remaining tasks, from this group on,
   * that it would hold; null when nothing available takes a task of this group.
   */
  private @Nullable Candidate cheapestCandidate(
      List<SchedulingPlan.UnplacedTasks> groups, int index, int left) {
    JobSpec job = groups.get(index).job();
    Candidate cheapest = null;
    double lowestPricePerCpu = Double.POSITIVE_INFINITY;
    for (MachineType type : types.values()) {
      if (!type.fits(job)) {
        continue;
      }
      for (boolean spot : new boolean[] {false, true}) {
        MachineKind kind = kindInZoneWithFewestMachines(type, spot, job);
        if (kind == null) {
          continue;
        }
        Candidate candidate = new Candidate(kind, type);
        double pricePerCpu = candidate.pricePerHour() / usedCpus(candidate, groups, index, left);
        if (pricePerCpu < lowestPricePerCpu) {
          cheapest = candidate;
          lowestPricePerCpu = pricePerCpu;
        }
      }
    }
    return cheapest;
  }

  /** How many CPUs of a candidate tasks would use, from the group at the index on. */
  private static double usedCpus(
      Candidate candidate, List<SchedulingPlan.UnplacedTasks> groups, int index, int left) {
    PlannedMachine machine = new PlannedMachine(candidate.kind, candidate.type);
    double cpus = 0;
    for (int i = index; i < groups.size() && machine.free.cpus > MIN_FREE_CPUS; i++) {
      JobSpec job = groups.get(i).job();
      int tasks = i == index ? left : groups.get(i).tasks();
      cpus += machine.place(job, tasks) * Math.max(job.cpus(), MIN_CPUS_PER_TASK);
    }
    return cpus;
  }

  /** The kind in the zone with the fewest machines; null when no zone has one for the job. */
  private @Nullable MachineKind kindInZoneWithFewestMachines(
      MachineType type, boolean spot, JobSpec job) {
    MachineKind best = null;
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      if (kind.allows(job)
          && available.test(kind)
          && (best == null || machinesIn(zone) < machinesIn(best.zone()))) {
        best = kind;
      }
    }
    return best;
  }

  private int machinesIn(String zone) {
    return machinesPerZone.getOrDefault(zone, 0);
  }
}
