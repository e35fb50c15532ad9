package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;

/**
 * Selects the tasks to preempt on one machine. A task may be preempted for a task of higher
 * priority or for another team's guarantee. Preemption must not reduce a team's share below its
 * guarantee, unless the task is preempted for a task of higher priority that belongs to the same
 * team or is within another team's guarantee.
 */
final class VictimSelector {
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;
  private final double now;

  /**
   * @param now the current time in seconds, on the same clock as {@link PlacedTask#runningSince}
   */
  VictimSelector(Map<String, Team> teams, SchedulingSettings settings, double now) {
    this.teams = teams;
    this.settings = settings;
    this.now = now;
  }

  /**
   * Returns the work that would be lost by preempting these tasks: seconds of running time,
   * weighted by the cost of each task.
   */
  double loss(List<PlacedTask> victims) {
    // DoubleStream.sum compensates for rounding errors, which matters when losses are compared.
    return victims.stream().mapToDouble(this::loss).sum();
  }

  private double loss(PlacedTask victim) {
    return victim.lostWorkS(now) * settings.cost(victim.job());
  }

  /**
   * Returns the tasks to preempt on a machine so that a task of the job fits there, or null if
   * there are no such tasks.
   *
   * @param guaranteed whether the job's task is within its team's guarantee
   */
  @Nullable List<PlacedTask> select(MachineView machine, JobSpec job, boolean guaranteed) {
    Resources free = machine.freeAfterStops().copy();
    List<PlacedTask> victims = new ArrayList<>();
    Map<String, Resources> preemptedByTeam = new HashMap<>();
    for (PlacedTask candidate : candidates(machine, job, guaranteed)) {
      if (free.fits(job)) {
        break;
      }
      String team = candidate.job().team();
      Resources preempted = preemptedByTeam.computeIfAbsent(team, name -> Resources.zero());
      preempted.add(candidate.job());
      // Several victims of one team may together reduce its share below its guarantee even if none
      // of them does so alone.
      if (!isPreemptibleRegardlessOfGuarantee(candidate.job(), job, guaranteed)
          && ownerOf(candidate).isBelowGuaranteeWithout(preempted)) {
        preempted.subtract(candidate.job());
        continue;
      }
      victims.add(candidate);
      free.add(candidate.job());
    }
    return free.fits(job) && !victims.isEmpty() ? victims : null;
  }

  /** Returns the team of a candidate. Only tasks of known teams are candidates. */
  private Team ownerOf(PlacedTask candidate) {
    return Objects.requireNonNull(teams.get(candidate.job().team()));
  }

  /** Returns the tasks that may be preempted for the job, in ascending order of loss. */
  private List<PlacedTask> candidates(MachineView machine, JobSpec job, boolean guaranteed) {
    List<PlacedTask> candidates = new ArrayList<>();
    for (PlacedTask task : machine.preemptibleTasks()) {
      Team owner = teams.get(task.job().team());
      if (owner != null && mayBePreempted(task.job(), owner, job, guaranteed)) {
        candidates.add(task);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }

  private static boolean mayBePreempted(
      JobSpec running, Team owner, JobSpec waiting, boolean guaranteed) {
    if (isPreemptibleRegardlessOfGuarantee(running, waiting, guaranteed)) {
      return true;
    }
    boolean forGuaranteeOfOther = guaranteed && !running.team().equals(waiting.team());
    return (hasLowerPriority(running, waiting) || forGuaranteeOfOther)
        && owner.isGuaranteeMetWithout(running);
  }

  /**
   * Returns whether a running task may be preempted for the waiting one even if that reduces its
   * team's share below its guarantee. Between two teams, this is allowed only for a task within its
   * own team's guarantee; otherwise the teams would preempt each other in turn.
   */
  private static boolean isPreemptibleRegardlessOfGuarantee(
      JobSpec running, JobSpec waiting, boolean guaranteed) {
    return hasLowerPriority(running, waiting)
        && (guaranteed || running.team().equals(waiting.team()));
  }

  private static boolean hasLowerPriority(JobSpec running, JobSpec waiting) {
    return running.priority().rank() < waiting.priority().rank();
  }
}
