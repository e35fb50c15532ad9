package org.saffronshore.autoscaling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.fleet.ArrivalStatistics.ExpectedJob;
import org.saffronshore.scheduling.Resources;

/**
 * Idle capacity that is kept so that a typical job of each class whose jobs still arrive finds
 * enough free resources. Valid for one run of scale-in.
 */
final class SpareCapacity {
  /** The number of typical jobs of each class for which capacity is kept. */
  private static final double JOBS_PER_CLASS = 1;

  private final Map<Machine, Resources> freeByMachine = new HashMap<>();

  /** The number of tasks like those of each expected job that fit on all machines together. */
  private final Map<ExpectedJob, Double> fittingTasks = new LinkedHashMap<>();

  /**
   * Counts the free resources on the machines of the cluster.
   *
   * @param now the time on the event loop's clock
   * @param excluded matches machines that are not counted because they are being returned
   */
  SpareCapacity(Cluster cluster, BootTimes bootTimes, double now, Predicate<Machine> excluded) {
    cluster
        .arrivals()
        .expectedJobs(now, bootTimes.longestS() / 2)
        .forEach(expected -> fittingTasks.put(expected, 0.0));
    for (Machine machine : cluster.machines()) {
      Resources freeOnMachine =
          excluded.test(machine) ? null : cluster.capacity().freeResources(machine);
      if (freeOnMachine != null) {
        freeByMachine.put(machine, freeOnMachine);
        fittingTasks.replaceAll((expected, sum) -> sum + fittingTasksOn(machine, expected));
      }
    }
  }

  private double fittingTasksOn(Machine machine, ExpectedJob expected) {
    Resources freeOnMachine = freeByMachine.get(machine);
    return freeOnMachine == null || !machine.kind().isAllowedFor(expected.task())
        ? 0
        : ArrivalStatistics.fittingTasks(freeOnMachine, expected.task());
  }

  /**
   * Returns whether a typical job of some class would not find enough free resources without this
   * machine.
   */
  boolean needs(Machine machine) {
    return fittingTasks.entrySet().stream()
        .anyMatch(entry -> needs(machine, entry.getKey(), entry.getValue()));
  }

  private boolean needs(Machine machine, ExpectedJob expected, double fittingOnAll) {
    double fitting = fittingTasksOn(machine, expected);
    return fitting > 0 && fittingOnAll - fitting < expected.tasks() * JOBS_PER_CLASS;
  }

  /** Stops counting the free resources of a machine that is to be returned. */
  void remove(Machine machine) {
    fittingTasks.replaceAll((expected, sum) -> sum - fittingTasksOn(machine, expected));
    freeByMachine.remove(machine);
  }
}
