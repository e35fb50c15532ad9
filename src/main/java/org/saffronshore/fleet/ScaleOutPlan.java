package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** Works out what to rent for the tasks that found no place. A pure function. */
public final class ScaleOutPlan {

  /** A machine that the plan adds. */
  private static final class Bin {
    final MachineKind kind;
    final Resources room;

    Bin(MachineKind kind, MachineType type) {
      this.kind = kind;
      this.room = Resources.capacityOf(type);
    }

    /** Takes as many tasks of a job as it has room for; how many. */
    int fill(JobSpec job, int most) {
      int taken = 0;
      while (taken < most && room.fits(job) && kind.allows(job)) {
        room.subtract(job);
        taken++;
      }
      return taken;
    }
  }

  private final Map<String, MachineType> types;
  private final Predicate<MachineKind> available;
  private final Map<String, Integer> perZone;
  private final List<Bin> bins = new ArrayList<>();
  private final Map<MachineKind, Integer> orders = new LinkedHashMap<>();

  private ScaleOutPlan(
      Map<String, MachineType> types,
      Predicate<MachineKind> available,
      Map<String, Integer> perZone) {
    this.types = types;
    this.available = available;
    this.perZone = new HashMap<>(perZone);
  }

  /**
   * Works out how many machines of each kind to rent.
   *
   * @param perZone how many machines each zone has, so that new ones go where there are fewest
   * @param available whether the cloud is thought to have machines of a kind
   */
  public static Map<MachineKind, Integer> orders(
      Map<String, MachineType> types,
      List<SchedulingPlan.UnplacedTasks> unmet,
      Map<String, Integer> perZone,
      Predicate<MachineKind> available) {
    ScaleOutPlan plan = new ScaleOutPlan(types, available, perZone);
    // Large tasks first: small ones then fill the gaps, and fewer machines do.
    List<SchedulingPlan.UnplacedTasks> groups = new ArrayList<>(unmet);
    groups.sort(Comparator.comparingDouble((SchedulingPlan.UnplacedTasks u) -> -u.job().cpus()));
    for (int i = 0; i < groups.size(); i++) {
      plan.add(groups, i);
    }
    return plan.orders;
  }

  private void add(List<SchedulingPlan.UnplacedTasks> groups, int index) {
    JobSpec job = groups.get(index).job();
    int left = groups.get(index).tasks();
    for (Bin bin : bins) {
      left -= bin.fill(job, left);
    }
    while (left > 0) {
      MachineKind kind = cheapest(groups, index, left);
      if (kind == null) {
        return;
      }
      Bin bin = new Bin(kind, types.get(kind.type()));
      left -= bin.fill(job, left);
      bins.add(bin);
      orders.merge(kind, 1, Integer::sum);
      perZone.merge(kind.zone(), 1, Integer::sum);
    }
  }

  /**
   * The kind with the lowest price for what it would hold of the tasks that are left, from this
   * group on.
   */
  private MachineKind cheapest(List<SchedulingPlan.UnplacedTasks> groups, int index, int left) {
    JobSpec job = groups.get(index).job();
    MachineKind best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (MachineType type : types.values()) {
      if (!type.fits(job)) {
        continue;
      }
      for (int spot = 0; spot < 2; spot++) {
        MachineKind kind = zoneFor(type, spot == 1, job);
        if (kind == null) {
          continue;
        }
        double price = kind.spot() ? type.spotPricePerHour() : type.pricePerHour();
        double score = price / held(new Bin(kind, type), groups, index, left);
        if (score < bestScore) {
          best = kind;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private static double held(
      Bin bin, List<SchedulingPlan.UnplacedTasks> groups, int index, int left) {
    double cpus = 0;
    for (int i = index; i < groups.size() && bin.room.cpus > 1e-6; i++) {
      JobSpec job = groups.get(i).job();
      cpus += bin.fill(job, i == index ? left : groups.get(i).tasks()) * Math.max(job.cpus(), 1e-3);
    }
    return cpus;
  }

  private MachineKind zoneFor(MachineType type, boolean spot, JobSpec job) {
    MachineKind best = null;
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      if (kind.allows(job)
          && available.test(kind)
          && (best == null
              || perZone.getOrDefault(zone, 0) < perZone.getOrDefault(best.zone(), 0))) {
        best = kind;
      }
    }
    return best;
  }
}
