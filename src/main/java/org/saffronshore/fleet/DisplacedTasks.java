package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/**
 * Finds tasks that should run on other machines: they occupy machines of a scarce type although
 * they would fit another type. The cloud has no more machines of a scarce type, and waiting tasks
 * depend on it. Once other machines have free resources for such tasks, later ones are placed
 * there, and the machines of the scarce type become free for the tasks that need them. A pure
 * function.
 */
public final class DisplacedTasks {
  /** The minimum number of CPUs that a task counts for as a divisor, so that it is never 0. */
  private static final double MIN_CPUS_PER_TASK = 1e-3;

  /** The number of tasks of a job that run on machines of a type. */
  public record Running(String type, JobSpec job, int tasks) {}

  /**
   * The scarce types that waiting tasks depend on, and the number of CPUs that those tasks require.
   */
  private record Shortage(Set<String> types, double cpus) {

    static Shortage of(
        Map<String, MachineType> types,
        Set<String> scarce,
        List<SchedulingPlan.UnplacedTasks> lateTasks) {
      Set<String> neededTypes = new HashSet<>();
      double neededCpus = 0;
      for (SchedulingPlan.UnplacedTasks waiting : lateTasks) {
        List<String> fittingTypes =
            types.values().stream()
                .filter(type -> type.fits(waiting.job()))
                .map(MachineType::name)
                .toList();
        if (scarce.containsAll(fittingTypes)) {
          neededTypes.addAll(fittingTypes);
          neededCpus += waiting.job().cpus() * waiting.tasks();
        }
      }
      return new Shortage(neededTypes, neededCpus);
    }
  }

  private DisplacedTasks() {}

  /**
   * Finds the tasks to displace, up to the number of CPUs that the waiting tasks require.
   *
   * @param scarce the types of which the cloud has no machines left, in any zone, spot or on-demand
   * @param lateTasks the tasks that would wait for longer than a new machine takes to boot
   * @param running the tasks on machines of scarce types
   */
  public static List<SchedulingPlan.UnplacedTasks> find(
      Map<String, MachineType> types,
      Set<String> scarce,
      List<SchedulingPlan.UnplacedTasks> lateTasks,
      List<Running> running) {
    Shortage shortage = Shortage.of(types, scarce, lateTasks);
    double neededCpus = shortage.cpus;
    List<SchedulingPlan.UnplacedTasks> displaced = new ArrayList<>();
    for (Running group : running) {
      JobSpec job = group.job;
      if (shortage.types.contains(group.type)
          && neededCpus > 0
          && fitsOtherType(job, types, scarce)) {
        double tasksToCoverNeed = Math.ceil(neededCpus / Math.max(job.cpus(), MIN_CPUS_PER_TASK));
        int tasks = (int) Math.min(group.tasks, tasksToCoverNeed);
        displaced.add(new SchedulingPlan.UnplacedTasks(job, tasks));
        neededCpus -= tasks * job.cpus();
      }
    }
    return displaced;
  }

  private static boolean fitsOtherType(
      JobSpec job, Map<String, MachineType> types, Set<String> scarce) {
    return types.values().stream()
        .anyMatch(type -> !scarce.contains(type.name()) && type.fits(job));
  }
}
