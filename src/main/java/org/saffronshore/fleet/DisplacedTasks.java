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
 * Tasks that are to be found another place: they run on machines of a type that others can do with
 * only, that the cloud has no more of, and that they themselves could do without. Once there is
 * room for their like elsewhere, the ones that come after them go there, and the machines become
 * free for those that need them. A pure function.
 */
public final class DisplacedTasks {

  /** So many tasks of a job run on machines of a type. */
  public record Running(String type, JobSpec job, int tasks) {}

  private DisplacedTasks() {}

  /**
   * Finds the tasks to be displaced.
   *
   * @param scarce types of which the cloud has no machine left, of any kind
   * @param late what waits for longer than a machine takes to boot
   */
  public static List<SchedulingPlan.UnplacedTasks> find(
      Map<String, MachineType> types,
      Set<String> scarce,
      List<SchedulingPlan.UnplacedTasks> late,
      List<Running> running) {
    Set<String> needed = new HashSet<>();
    double cpus = 0;
    for (SchedulingPlan.UnplacedTasks u : late) {
      List<String> fits =
          types.values().stream().filter(t -> t.fits(u.job())).map(MachineType::name).toList();
      if (scarce.containsAll(fits)) {
        needed.addAll(fits);
        cpus += u.job().cpus() * u.tasks();
      }
    }
    List<SchedulingPlan.UnplacedTasks> displaced = new ArrayList<>();
    for (Running r : running) {
      boolean elsewhere =
          types.values().stream().anyMatch(t -> !scarce.contains(t.name()) && t.fits(r.job));
      if (needed.contains(r.type) && elsewhere && cpus > 0) {
        int tasks = (int) Math.min(r.tasks, Math.ceil(cpus / Math.max(r.job.cpus(), 1e-3)));
        displaced.add(new SchedulingPlan.UnplacedTasks(r.job, tasks));
        cpus -= tasks * r.job.cpus();
      }
    }
    return displaced;
  }
}
