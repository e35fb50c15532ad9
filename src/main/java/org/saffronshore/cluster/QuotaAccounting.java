package org.saffronshore.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/**
 * What each team may be using: the one place that says so, for everything that starts a task.
 *
 * <p>Invariant: what counts against a team's limit is at no moment less than what its tasks take on
 * all machines, launches in flight included. To keep it, every machine is counted by itself and the
 * machines are added up; what may be on one machine never stands for what may be on another one:
 *
 * <ul>
 *   <li>a task that a heartbeat has shown, or that this term launches, counts for its team;
 *   <li>of an unreconciled machine whose registry entry names its possible tasks, these count for
 *       their teams, also when their job was cancelled meanwhile;
 *   <li>where a task is of a job that was over before this term began, nobody knows its team or its
 *       size: what the machine has beside its known tasks counts for every team;
 *   <li>an unreconciled machine that may hold anything counts for every team.
 * </ul>
 */
final class QuotaAccounting {
  private final JobTable jobs;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;

  /** What tasks of unknown teams may take. */
  private final Resources unknownTeamUsage = zero();

  /** All of the machines that may hold anything. */
  private final Resources mayHoldAnythingCapacity = zero();

  /** By team, possible tasks of open jobs that no heartbeat has shown and that are not finished. */
  private final Map<String, Resources> possibleOpenJobUsage = new HashMap<>();

  /** The same of jobs that ended in this term. */
  private final Map<String, Resources> possibleEndedJobUsage = new HashMap<>();

  /** Possible tasks that are counted already; two registry entries may name the same one. */
  private final Set<TaskId> countedPossibleTasks = new HashSet<>();

  private QuotaAccounting(
      JobTable jobs,
      MachineTable machines,
      Reconciliation reconciliation,
      Map<String, Team> teams,
      SchedulingSettings tuning) {
    this.jobs = jobs;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.teams = teams;
    this.settings = tuning;
  }

  /** Counts into the teams, which nothing was counted into before. */
  static void count(
      JobTable jobs,
      MachineTable machines,
      Reconciliation reconciliation,
      Map<String, Team> teams,
      SchedulingSettings tuning) {
    QuotaAccounting usage = new QuotaAccounting(jobs, machines, reconciliation, teams, tuning);
    machines.all().forEach(usage::addAttempts);
    reconciliation.machines().forEach(usage::addPossibleTasks);
    usage.addTotalsToTeams();
  }

  private static Resources zero() {
    return new Resources(0, 0, 0);
  }

  private void addAttempts(Machine machine) {
    boolean allKnown = true;
    for (Attempt attempt : machine.attempts()) {
      JobSpec job = attempt.job();
      if (job == null) {
        allKnown = false;
        continue;
      }
      Team team = teams.get(job.team());
      if (team != null) {
        team.addLaunched(job, settings);
        if (attempt.isRunningOrCheckpointing()) {
          team.addRunning(job);
        }
      }
    }
    if (!allKnown) {
      addUnknownTeamUsage(capacityBesideKnownAttempts(machine));
    }
  }

  private Resources capacityBesideKnownAttempts(Machine machine) {
    Resources capacity = capacity(machine);
    for (Attempt attempt : machine.attempts()) {
      JobSpec job = attempt.job();
      if (job != null) {
        capacity.subtract(job);
      }
    }
    return capacity;
  }

  private void addPossibleTasks(Machine machine) {
    Resources remaining = capacity(machine);
    if (machine.possibleTasks().isAnything()) {
      mayHoldAnythingCapacity.add(remaining);
      return;
    }
    boolean allKnown = true;
    for (TaskId task : machine.possibleTasks().named()) {
      Job job = jobs.get(task.job());
      JobSpec spec = job != null ? job.spec() : machine.possibleTasks().specOfEndedJob(task);
      if (spec == null) {
        allKnown = false;
        continue;
      }
      remaining.subtract(spec);
      // One that is finished, or shown by another machine, is counted there if anywhere.
      boolean mayBeHere = job == null || job.isWaiting(task.index());
      if (mayBeHere && countedPossibleTasks.add(task)) {
        (job == null ? possibleEndedJobUsage : possibleOpenJobUsage)
            .computeIfAbsent(spec.team(), team -> zero())
            .add(spec);
      }
    }
    if (!allKnown) {
      addUnknownTeamUsage(remaining);
    }
  }

  private void addUnknownTeamUsage(Resources remaining) {
    unknownTeamUsage.add(
        new Resources(Math.max(0, remaining.cpus), Math.max(0, remaining.gpus), 0));
  }

  /** All that a machine has; of one whose type is not known, more than any type has. */
  private Resources capacity(Machine machine) {
    MachineType knownType = machines.typeOf(machine);
    Resources capacity = zero();
    for (MachineType type :
        knownType != null ? List.of(knownType) : List.copyOf(machines.types().values())) {
      capacity.add(Resources.capacityOf(type));
    }
    return capacity;
  }

  /**
   * Of what the machines that may hold anything can take, as much counts into a team's share as its
   * open jobs may have launched; the rest counts against its limit only.
   */
  private void addTotalsToTeams() {
    Map<String, Resources> launchedNotNamed = launchedButNotNamed();
    Resources none = zero();
    teams.forEach(
        (name, team) -> {
          Resources open = possibleOpenJobUsage.getOrDefault(name, none);
          Resources ended = possibleEndedJobUsage.getOrDefault(name, none);
          Resources launched = launchedNotNamed.getOrDefault(name, none);
          double cpus = Math.min(mayHoldAnythingCapacity.cpus, launched.cpus);
          double gpus = Math.min(mayHoldAnythingCapacity.gpus, launched.gpus);
          team.addPossible(open.cpus + cpus, open.gpus + gpus);
          team.addUnattributed(
              ended.cpus + unknownTeamUsage.cpus + mayHoldAnythingCapacity.cpus - cpus,
              ended.gpus + unknownTeamUsage.gpus + mayHoldAnythingCapacity.gpus - gpus);
        });
  }

  /** By team, what earlier leaders may have launched and no registry entry names. */
  private Map<String, Resources> launchedButNotNamed() {
    Map<String, Integer> namedByJob = new HashMap<>();
    countedPossibleTasks.forEach(task -> namedByJob.merge(task.job(), 1, Integer::sum));
    Map<String, Resources> launched = new HashMap<>();
    for (Job job : jobs.all()) {
      if (reconciliation.mayRunOnUnreconciled(job)) {
        int unnamed =
            job.waitingTasksLaunchedBefore().cardinality() - namedByJob.getOrDefault(job.id(), 0);
        launched
            .computeIfAbsent(job.spec().team(), team -> zero())
            .add(job.spec(), Math.max(0, unnamed));
      }
    }
    return launched;
  }
}
