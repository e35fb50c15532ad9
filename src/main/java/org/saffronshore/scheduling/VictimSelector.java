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
 * The rules of preemption on one machine. A task may be preempted for one of higher priority or for
 * another team's guarantee. What its own team is guaranteed is left to that team, unless the task
 * yields to one of higher priority that is of the same team or within another team's guarantee.
 */
final class VictimSelector {
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;
  private final double now;

  /**
   * @param now seconds on the clock of {@link PlacedTask#runningSince}
   */
  VictimSelector(Map<String, Team> teams, SchedulingSettings settings, double now) {
    this.teams = teams;
    this.settings = settings;
    this.now = now;
  }

  /** The work that preemption of these tasks would lose: seconds, weighted by their cost. */
  double loss(List<PlacedTask> victims) {
    // The stream's sum compensates for rounding errors, which matters where losses are compared.
    return victims.stream().mapToDouble(this::loss).sum();
  }

  private double loss(PlacedTask victim) {
    return victim.lostWorkS(now) * settings.cost(victim.job());
  }

  /**
   * The tasks to preempt on a machine so that a task of the job fits there, or null where that is
   * impossible.
   *
   * @param guaranteed whether the job's task is within its team's guarantee
   */
  @Nullable List<PlacedTask> select(MachineView machine, JobSpec job, boolean guaranteed) {
    Resources room = machine.freeAfterStops().copy();
    List<PlacedTask> victims = new ArrayList<>();
    Map<String, Resources> preemptedByTeam = new HashMap<>();
    for (PlacedTask candidate : candidates(machine, job, guaranteed)) {
      if (room.fits(job)) {
        break;
      }
      String team = candidate.job().team();
      Resources preempted = preemptedByTeam.computeIfAbsent(team, name -> Resources.zero());
      preempted.add(candidate.job());
      // Several victims of one team may together reach into its guarantee even if none does alone.
      if (!isPreemptibleRegardlessOfGuarantee(candidate.job(), job, guaranteed)
          && ownerOf(candidate).isBelowGuaranteeWithout(preempted)) {
        preempted.subtract(candidate.job());
        continue;
      }
      victims.add(candidate);
      room.add(candidate.job());
    }
    return room.fits(job) && !victims.isEmpty() ? victims : null;
  }

  /** The team of a candidate, which a task of no known team cannot be. */
  private Team ownerOf(PlacedTask candidate) {
    return Objects.requireNonNull(teams.get(candidate.job().team()));
  }

  /** The tasks that may be preempted for the job, the least loss first. */
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
   * Whether a running task yields to the waiting one even if its team then has less than its
   * guarantee. Of two teams only the one within its guarantee may preempt the other's in this way,
   * or they would preempt one another in turn.
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
