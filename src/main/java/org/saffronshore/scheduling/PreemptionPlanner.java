package org.saffronshore.scheduling;

import java.util.Collection;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * Finds the machine on which preemption frees enough resources for a task at the least loss of
 * work.
 */
final class PreemptionPlanner {

  /** A machine and the tasks to preempt on it. */
  record Choice(MachineView machine, List<PlacedTask> victims) {}

  private final Collection<MachineView> machines;
  private final VictimSelector victimSelector;
  private final FailedPlacements failures;

  PreemptionPlanner(
      Collection<MachineView> machines, VictimSelector victimSelector, FailedPlacements failures) {
    this.machines = machines;
    this.victimSelector = victimSelector;
    this.failures = failures;
  }

  /**
   * Returns the machine and the tasks to preempt for the task, or null if no permitted preemption
   * frees enough resources.
   *
   * @param guaranteed whether the task is within its team's guarantee
   */
  @Nullable Choice find(PendingJob pending, TaskId task, boolean guaranteed) {
    JobSpec job = pending.job();
    if (failures.isKnownToHaveNoVictims(job, guaranteed)) {
      return null;
    }
    MachineView best = null;
    List<PlacedTask> bestVictims = null;
    double leastLoss = Double.POSITIVE_INFINITY;
    boolean excludedAny = false;
    for (MachineView machine : machines) {
      if (!mayHaveVictims(machine, job, guaranteed)) {
        continue;
      }
      if (pending.isExcludedFrom(machine, task)) {
        excludedAny = true;
        continue;
      }
      List<PlacedTask> victims = victimSelector.select(machine, job, guaranteed);
      double loss = victims == null ? Double.POSITIVE_INFINITY : victimSelector.loss(victims);
      if (victims != null && loss < leastLoss) {
        best = machine;
        bestVictims = victims;
        leastLoss = loss;
      }
    }
    if (best != null && bestVictims != null) {
      return new Choice(best, bestVictims);
    }
    // A machine that is excluded for this task may be allowed for a task of another job.
    if (!excludedAny) {
      failures.addSearchWithoutVictims(job, guaranteed);
    }
    return null;
  }

  /**
   * Returns whether the machine may have tasks to preempt; an inexpensive check that rules out most
   * machines.
   */
  private static boolean mayHaveVictims(MachineView machine, JobSpec job, boolean guaranteed) {
    boolean hasLowerPriority = machine.mayHaveTasksBelow(job.priority());
    boolean hasOthersForGuarantee = guaranteed && machine.hasTasksOfOtherTeams(job.team());
    return (hasLowerPriority || hasOthersForGuarantee)
        && machine.kind().isAllowedFor(job)
        && !machine.isReserved();
  }
}
