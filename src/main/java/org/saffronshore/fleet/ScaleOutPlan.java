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

/** Calculates which machines to rent for tasks that could not be placed. A pure function. */
public final class ScaleOutPlan {
  /** A machine with no more free CPUs than this is considered full. */
  private static final double MIN_FREE_CPUS = 1e-6;

  /**
   * The minimum number of CPUs that a task counts for, so that the used CPUs of a candidate, by
   * which its price is divided, are never 0.
   */
  private static final double MIN_CPUS_PER_TASK = 1e-3;

  /** A machine that the plan orders. */
  private static final class PlannedMachine {
    final MachineKind kind;
    final Resources free;

    PlannedMachine(MachineKind kind, MachineType type) {
      this.kind = kind;
      this.free = Resources.capacityOf(type);
    }

    /** Places up to {@code maxTasks} tasks of a job; returns the number of tasks that fit. */
    int place(JobSpec job, int maxTasks) {
      int placed = 0;
      while (placed < maxTasks && free.fits(job) && kind.isAllowedFor(job)) {
        free.subtract(job);
        placed++;
      }
      return placed;
    }
  }

  /** A machine type and kind (type, zone, spot or on-demand) that could be rented next. */
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
   * Calculates how many machines of each kind to rent. The kinds are in the order of renting.
   *
   * @param unplaced the tasks that could not be placed
   * @param machinesPerZone the number of existing machines in each zone; new machines are rented in
   *     the zone with the fewest
   * @param available whether the cloud is expected to have machines of a kind
   */
  public static Map<MachineKind, Integer> orders(
      Map<String, MachineType> types,
      List<SchedulingPlan.UnplacedTasks> unplaced,
      Map<String, Integer> machinesPerZone,
      Predicate<MachineKind> available) {
    ScaleOutPlan plan = new ScaleOutPlan(types, available, machinesPerZone);
    // Large tasks are placed first; small ones then fill the remaining space, so that fewer
    // machines are needed.
    List<SchedulingPlan.UnplacedTasks> largestFirst = new ArrayList<>(unplaced);
    largestFirst.sort(
        Comparator.comparingDouble((SchedulingPlan.UnplacedTasks tasks) -> -tasks.job().cpus()));
    for (int i = 0; i < largestFirst.size(); i++) {
      plan.planMachinesFor(largestFirst, i);
    }
    return plan.orders;
  }

  /**
   * Plans machines for the group of tasks at an index. The preceding groups must have been planned.
   */
  private void planMachinesFor(List<SchedulingPlan.UnplacedTasks> groups, int index) {
    JobSpec job = groups.get(index).job();
    int remaining = groups.get(index).tasks();
    for (PlannedMachine machine : machines) {
      remaining -= machine.place(job, remaining);
    }
    while (remaining > 0) {
      Candidate candidate = cheapestCandidate(groups, index, remaining);
      if (candidate == null) {
        return;
      }
      MachineKind kind = candidate.kind;
      PlannedMachine machine = new PlannedMachine(kind, candidate.type);
      remaining -= machine.place(job, remaining);
      machines.add(machine);
      orders.merge(kind, 1, Integer::sum);
      machinesPerZone.merge(kind.zone(), 1, Integer::sum);
    }
  }

  /**
   * Returns the candidate with the lowest price per used CPU, counting the remaining tasks of this
   * group and of the following ones that would fit on it; null if no available machine allows a
   * task of this group.
   */
  private @Nullable Candidate cheapestCandidate(
      List<SchedulingPlan.UnplacedTasks> groups, int index, int remaining) {
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
        double pricePerCpu =
            candidate.pricePerHour() / usedCpus(candidate, groups, index, remaining);
        if (pricePerCpu < lowestPricePerCpu) {
          cheapest = candidate;
          lowestPricePerCpu = pricePerCpu;
        }
      }
    }
    return cheapest;
  }

  /**
   * Returns how many CPUs of a candidate would be used by the remaining tasks of the group at the
   * index and the tasks of the following groups.
   */
  private static double usedCpus(
      Candidate candidate, List<SchedulingPlan.UnplacedTasks> groups, int index, int remaining) {
    PlannedMachine machine = new PlannedMachine(candidate.kind, candidate.type);
    double cpus = 0;
    for (int i = index; i < groups.size() && machine.free.cpus > MIN_FREE_CPUS; i++) {
      JobSpec job = groups.get(i).job();
      int tasks = i == index ? remaining : groups.get(i).tasks();
      cpus += machine.place(job, tasks) * Math.max(job.cpus(), MIN_CPUS_PER_TASK);
    }
    return cpus;
  }

  /**
   * Returns the kind in the zone with the fewest machines, or null if no zone has an available kind
   * that the job allows.
   */
  private @Nullable MachineKind kindInZoneWithFewestMachines(
      MachineType type, boolean spot, JobSpec job) {
    MachineKind best = null;
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      if (kind.isAllowedFor(job)
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
