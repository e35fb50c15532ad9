package org.saffronshore.scheduling;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * An exception to the design, against starvation: when the first task of an overdue job fits
 * nowhere, the machine with the most room for it takes nothing else in this cycle. Otherwise small
 * tasks would fill every gap before it is large enough.
 */
final class OverdueReservation {
  private OverdueReservation() {}

  /** Reserves a machine for the task, if one is large enough when empty. */
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
          && machine.kind().allows(job)
          && !pending.isExcludedFrom(machine, task)
          && (best == null || machine.freeAfterStops().cpus > best.freeAfterStops().cpus)) {
        best = machine;
      }
    }
    return best;
  }
}
