package org.saffronshore.scheduling;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * Selects the machine for a task that can be placed without preemption. Resources that are free now
 * are preferred to resources that are still being released. The design then packs machines by team:
 * machines used only by the task's team first, then others, and among those the machine with the
 * fewest free CPUs. Exceptions to the design:
 *
 * <ul>
 *   <li>The design prefers empty machines to shared ones. Here machines are billed by the second
 *       and a machine that stays empty can be returned, so empty machines come last.
 *   <li>Before packing by team, smaller machines are preferred to larger ones, because small tasks
 *       would otherwise fill the large machines that large tasks need; then machines that already
 *       have the image, since pulling it delays the start; then spot machines, so that on-demand
 *       machines, which are rented for peaks, become idle.
 * </ul>
 */
final class MachineSelector {
  private final Collection<MachineView> machines;
  private final FailedPlacements failures;

  MachineSelector(Collection<MachineView> machines, FailedPlacements failures) {
    this.machines = machines;
    this.failures = failures;
  }

  /** Returns the best machine for the task, or null if it fits on no machine. */
  @Nullable MachineView select(PendingJob pending, TaskId task) {
    JobSpec job = pending.job();
    if (failures.isKnownUnplaceable(job)) {
      return null;
    }
    MachineView best = null;
    boolean excludedAny = false;
    for (MachineView machine : machines) {
      if (!machine.freeAfterStops().fits(job) || !machine.kind().isAllowedFor(job)) {
        continue;
      }
      if (pending.isExcludedFrom(machine, task)) {
        excludedAny = true;
      } else if (best == null || isBetter(machine, best, job)) {
        best = machine;
      }
    }
    // A machine that is excluded for this task may be allowed for a task of another job.
    if (best == null && !excludedAny) {
      failures.addUnplaceable(job);
    }
    return best;
  }

  private static boolean isBetter(MachineView machine, MachineView best, JobSpec job) {
    boolean fitsNow = machine.freeNow().fits(job);
    if (fitsNow != best.freeNow().fits(job)) {
      return fitsNow;
    }
    if (Math.abs(machine.totalCpus() - best.totalCpus()) > Resources.EPSILON) {
      return machine.totalCpus() < best.totalCpus();
    }
    boolean hasImage = machine.hasImage(job.image());
    if (hasImage != best.hasImage(job.image())) {
      return hasImage;
    }
    if (machine.kind().spot() != best.kind().spot()) {
      return machine.kind().spot();
    }
    MachineView.Sharing sharing = machine.sharing(job.team());
    MachineView.Sharing sharingOfBest = best.sharing(job.team());
    if (sharing != sharingOfBest) {
      return sharing.compareTo(sharingOfBest) < 0;
    }
    return machine.freeAfterStops().cpus < best.freeAfterStops().cpus - Resources.EPSILON;
  }
}
