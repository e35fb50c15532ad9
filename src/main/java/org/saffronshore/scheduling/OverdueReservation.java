package org.saffronshore.scheduling;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * An exception to the design that prevents starvation: when the first task of an overdue job fits
 * on no machine, the allowed machine with the most free CPUs takes no other tasks in this cycle.
 * Otherwise small tasks would use released resources before enough of them are free for the overdue
 * job.
 */
final class OverdueReservation {
  private OverdueReservation() {}

  /** Reserves a machine for the task if there is one that has enough CPUs for it when empty. */
  static void reserve(Collection<MachineView> machines, PendingJob pending, TaskId task) {
    MachineView machine = machineWithMostFreeCpus(machines, pending, task);
    if (machine != null) {
      machine.reserve();
    }
  }

  private static @Nullable MachineView machineWithMostFreeCpus(
      Collection<MachineView> machines, PendingJob pending, TaskId task) {
    JobSpec job = pending.job();
    MachineView best = null;
    for (MachineView machine : machines) {
      if (machine.totalCpus() + Resources.EPSILON >= job.cpus()
          && !machine.isReserved()
          && machine.kind().isAllowedFor(job)
          && !pending.isExcludedFrom(machine, task)
          && (best == null || machine.freeAfterStops().cpus > best.freeAfterStops().cpus)) {
        best = machine;
      }
    }
    return best;
  }
}
