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
 * Tasks that should get another place: they occupy machines of a scarce type, which the cloud has
 * no more of and waiting tasks depend on, although they fit other types themselves. Once there is
 * room for such tasks elsewhere, the next ones are placed there, and the scarce machines become
 * free for those that need them. A pure function.
 */
public final class DisplacedTasks {
  private static final double MIN_CPUS_PER_TASK = 1e-3;

  /** So many tasks of a job run on machines of a type. */
  public record Running(String type, JobSpec job, int tasks) {}

  /** The scarce types that waiting tasks depend on, and how many CPUs those tasks need. */
  private record Shortage(Set<String> types, double cpus) {

    static Shortage of(
        Map<String, MachineType> types,
        Set<String> scarce,
        List<SchedulingPlan.UnplacedTasks> late) {
      Set<String> neededTypes = new HashSet<>();
      double neededCpus = 0;
      for (SchedulingPlan.UnplacedTasks waiting : late) {
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
   * Finds the tasks to be displaced, as many as have the CPUs that the waiting tasks need.
   *
   * @param scarce types of which the cloud has no machine left, of any kind
   * @param late tasks that will wait for longer than a machine takes to boot
   * @param running tasks on machines of scarce types
   */
  public static List<SchedulingPlan.UnplacedTasks> find(
      Map<String, MachineType> types,
      Set<String> scarce,
      List<SchedulingPlan.UnplacedTasks> late,
      List<Running> running) {
    Shortage shortage = Shortage.of(types, scarce, late);
    double neededCpus = shortage.cpus;
    List<SchedulingPlan.UnplacedTasks> displaced = new ArrayList<>();
    for (Running group : running) {
      JobSpec job = group.job;
      if (shortage.types.contains(group.type)
          && neededCpus > 0
          && fitsOtherType(job, types, scarce)) {
        double tasksForNeed = Math.ceil(neededCpus / Math.max(job.cpus(), MIN_CPUS_PER_TASK));
        int tasks = (int) Math.min(group.tasks, tasksForNeed);
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
