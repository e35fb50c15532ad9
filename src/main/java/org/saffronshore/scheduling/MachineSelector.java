package org.saffronshore.scheduling;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * Chooses the machine for a task that fits somewhere without preemption. What is free now goes
 * before what is only being freed. Then the design packs by team: machines used only by the team,
 * then others, and of these the one with the least free room. Exceptions to the design:
 *
 * <ul>
 *   <li>It takes empty machines before shared ones; here every second of a machine is paid for, and
 *       one that stays empty can be returned, so empty ones come last.
 *   <li>Smaller machines go before larger ones, or small tasks would use up the room that only
 *       large machines have; then machines that have the image, since pulling it delays the start;
 *       then spot machines, so that ordinary ones, which are rented for peaks, become idle.
 * </ul>
 */
final class MachineSelector {
  private final Collection<MachineView> machines;
  private final FailedPlacements failures;

  MachineSelector(Collection<MachineView> machines, FailedPlacements failures) {
    this.machines = machines;
    this.failures = failures;
  }

  /** The best machine for the task, or null when it fits nowhere. */
  @Nullable MachineView select(PendingJob pending, TaskId task) {
    JobSpec job = pending.job();
    if (failures.isKnownUnplaceable(job)) {
      return null;
    }
    MachineView best = null;
    boolean excludedAny = false;
    for (MachineView machine : machines) {
      if (!machine.freeAfterStops().fits(job) || !machine.kind().allows(job)) {
        continue;
      }
      if (pending.isExcludedFrom(machine, task)) {
        excludedAny = true;
      } else if (best == null || isBetter(machine, best, job)) {
        best = machine;
      }
    }
    // What was excluded for this task may suit one of another job.
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
