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
 * Computes how much each team may be using. Everything that starts a task relies on this single
 * computation.
 *
 * <p>Invariant: the amount counted against a team's limit is never less than what the team's tasks
 * use on all machines, launches in flight included. To ensure this, each machine is counted
 * separately and the results are added up. What may be on one machine is never assumed to cover
 * what may be on another:
 *
 * <ul>
 *   <li>A task that a heartbeat has shown, or that this term launches, counts for its team.
 *   <li>If the registry entry of an unreconciled machine lists its possible tasks, these count for
 *       their teams, even if their job has been cancelled in the meantime.
 *   <li>If a task belongs to a job that ended before this term began, neither its team nor its size
 *       is known. The capacity of its machine less the machine's known tasks counts for every team.
 *   <li>The capacity of an unreconciled machine that may hold any task counts for every team.
 * </ul>
 */
final class QuotaAccounting {
  private final JobTable jobs;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;

  /** The most that tasks of unknown teams may be using; counts for every team. */
  private final Resources unknownTeamUsage = zero();

  /** The total capacity of the unreconciled machines that may hold any task. */
  private final Resources mayHoldAnyTaskCapacity = zero();

  /**
   * What possible tasks of open jobs may be using, by team. Includes only tasks that no heartbeat
   * has shown and that are not finished.
   */
  private final Map<String, Resources> possibleOpenJobUsage = new HashMap<>();

  /** What possible tasks of jobs that ended in this term may be using, by team. */
  private final Map<String, Resources> possibleEndedJobUsage = new HashMap<>();

  /** Possible tasks that are already counted; two registry entries may list the same task. */
  private final Set<TaskId> countedPossibleTasks = new HashSet<>();

  private QuotaAccounting(
      JobTable jobs,
      MachineTable machines,
      Reconciliation reconciliation,
      Map<String, Team> teams,
      SchedulingSettings settings) {
    this.jobs = jobs;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.teams = teams;
    this.settings = settings;
  }

  /**
   * Adds to each team what it may be using.
   *
   * @param teams the teams by name, to which no usage has been added yet
   */
  static void count(
      JobTable jobs,
      MachineTable machines,
      Reconciliation reconciliation,
      Map<String, Team> teams,
      SchedulingSettings settings) {
    QuotaAccounting usage = new QuotaAccounting(jobs, machines, reconciliation, teams, settings);
    machines.all().forEach(usage::addAttempts);
    reconciliation.unreconciledMachines().forEach(usage::addPossibleTasks);
    usage.addTotalsToTeams();
  }

  private static Resources zero() {
    return new Resources(0, 0, 0);
  }

  private void addAttempts(Machine machine) {
    boolean allSpecsKnown = true;
    for (Attempt attempt : machine.attempts()) {
      JobSpec job = attempt.job();
      if (job == null) {
        allSpecsKnown = false;
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
    if (!allSpecsKnown) {
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
    if (machine.possibleTasks().mayBeAnyTask()) {
      mayHoldAnyTaskCapacity.add(remaining);
      return;
    }
    boolean allSpecsKnown = true;
    for (TaskId task : machine.possibleTasks().listedTasks()) {
      Job job = jobs.get(task.job());
      JobSpec spec = job != null ? job.spec() : machine.possibleTasks().specOfEndedJob(task);
      if (spec == null) {
        allSpecsKnown = false;
        continue;
      }
      remaining.subtract(spec);
      // A task of an open job that is finished or that a heartbeat has shown is not waiting. If
      // it still counts, it does so as an attempt of the machine that has shown it.
      boolean mayRunHere = job == null || job.isWaiting(task.index());
      if (mayRunHere && countedPossibleTasks.add(task)) {
        (job == null ? possibleEndedJobUsage : possibleOpenJobUsage)
            .computeIfAbsent(spec.team(), team -> zero())
            .add(spec);
      }
    }
    if (!allSpecsKnown) {
      addUnknownTeamUsage(remaining);
    }
  }

  private void addUnknownTeamUsage(Resources remaining) {
    unknownTeamUsage.add(
        new Resources(Math.max(0, remaining.cpus), Math.max(0, remaining.gpus), 0));
  }

  /**
   * Returns the capacity of a machine. If its type is not known, returns the sum of the capacities
   * of all types, which is at least the capacity of any of them.
   */
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
   * Adds the totals to the teams. The capacity of the machines that may hold any task counts for
   * every team. The part of it that may be used by tasks of the team's open jobs, launched by
   * earlier leaders and listed in no registry entry, counts towards the team's share and its limit;
   * the rest counts against its limit only.
   */
  private void addTotalsToTeams() {
    Map<String, Resources> launchedNotListed = launchedButNotListed();
    Resources zero = zero();
    teams.forEach(
        (name, team) -> {
          Resources open = possibleOpenJobUsage.getOrDefault(name, zero);
          Resources ended = possibleEndedJobUsage.getOrDefault(name, zero);
          Resources launched = launchedNotListed.getOrDefault(name, zero);
          double cpus = Math.min(mayHoldAnyTaskCapacity.cpus, launched.cpus);
          double gpus = Math.min(mayHoldAnyTaskCapacity.gpus, launched.gpus);
          team.addPossible(open.cpus + cpus, open.gpus + gpus);
          team.addUnattributed(
              ended.cpus + unknownTeamUsage.cpus + mayHoldAnyTaskCapacity.cpus - cpus,
              ended.gpus + unknownTeamUsage.gpus + mayHoldAnyTaskCapacity.gpus - gpus);
        });
  }

  /**
   * Returns, by team, what waiting tasks of open jobs may be using that earlier leaders may have
   * launched and that no registry entry lists.
   */
  private Map<String, Resources> launchedButNotListed() {
    Map<String, Integer> listedByJob = new HashMap<>();
    countedPossibleTasks.forEach(task -> listedByJob.merge(task.job(), 1, Integer::sum));
    Map<String, Resources> launched = new HashMap<>();
    for (Job job : jobs.all()) {
      if (reconciliation.mayRunOnUnreconciledMachine(job)) {
        int notListed =
            job.waitingTasksLaunchedBefore().cardinality() - listedByJob.getOrDefault(job.id(), 0);
        launched
            .computeIfAbsent(job.spec().team(), team -> zero())
            .add(job.spec(), Math.max(0, notListed));
      }
    }
    return launched;
  }
}
