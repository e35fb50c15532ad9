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
 * all machines, launches under way included. To keep it, every machine is counted by itself and the
 * machines are added up; what may be on one machine never stands for what may be on another one:
 *
 * <ul>
 *   <li>a task that a report has shown, or that this term launches, counts for its team;
 *   <li>of a machine not accounted for, of which it is written down what it holds, the tasks that
 *       are written down count for their teams, also when their job was cancelled meanwhile;
 *   <li>where a task is of a job that was over before this term began, nobody knows its team or its
 *       size: what the machine has beside its known tasks counts for every team;
 *   <li>a machine not accounted for that may hold anything counts for every team.
 * </ul>
 */
final class QuotaAccounting {
  private final Cluster cluster;
  private final Map<String, Team> teams;
  private final SchedulingSettings tuning;

  /** What tasks of unknown teams may take. */
  private final Resources unknown = new Resources(0, 0, 0);

  /** All machines that may hold anything. */
  private final Resources unlisted = new Resources(0, 0, 0);

  /** Written down, not seen anywhere and not done: by team, of open jobs and of ended ones. */
  private final Map<String, Resources> listedOpen = new HashMap<>();

  private final Map<String, Resources> listedEnded = new HashMap<>();

  /** Tasks that are counted already; two records may name the same one. */
  private final Set<TaskId> listed = new HashSet<>();

  private QuotaAccounting(Cluster cluster, Map<String, Team> teams, SchedulingSettings tuning) {
    this.cluster = cluster;
    this.teams = teams;
    this.tuning = tuning;
  }

  /** Counts into the teams, which nothing was counted into before. */
  static void count(Cluster cluster, Map<String, Team> teams, SchedulingSettings tuning) {
    QuotaAccounting usage = new QuotaAccounting(cluster, teams, tuning);
    cluster.machines().forEach(usage::addAttempts);
    cluster.unreconciled().forEach(usage::addUnaccounted);
    usage.addTotals();
  }

  private void addAttempts(Machine m) {
    boolean allKnown = true;
    for (Attempt a : m.attempts.values()) {
      allKnown &= a.job != null;
      Team team = a.job == null ? null : teams.get(a.job.team());
      if (team != null) {
        team.addLaunched(a.job, tuning);
        if (a.state == Attempt.State.RUNNING || a.state == Attempt.State.CHECKPOINTING) {
          team.addRunning(a.job);
        }
      }
    }
    if (!allKnown) {
      Resources room = capacity(m);
      m.attempts.values().stream().filter(a -> a.job != null).forEach(a -> room.subtract(a.job));
      addUnknown(room);
    }
  }

  private void addUnaccounted(Machine m) {
    Resources room = capacity(m);
    if (m.possibleTasks == null) {
      unlisted.add(room);
      return;
    }
    boolean allKnown = true;
    for (TaskId task : m.possibleTasks) {
      Job job = cluster.job(task.job());
      JobSpec spec = job != null ? job.spec : m.possibleTasksOfEndedJobs.get(task);
      if (spec == null) {
        allKnown = false;
        continue;
      }
      room.subtract(spec);
      // One that is done, or seen on a machine, and that there only, is counted there if anywhere.
      boolean mayBeHere = job == null || job.waitingTasks.get(task.index());
      if (mayBeHere && listed.add(task)) {
        (job == null ? listedEnded : listedOpen)
            .computeIfAbsent(spec.team(), t -> new Resources(0, 0, 0))
            .add(spec);
      }
    }
    if (!allKnown) {
      addUnknown(room);
    }
  }

  private void addUnknown(Resources room) {
    unknown.add(new Resources(Math.max(0, room.cpus), Math.max(0, room.gpus), 0));
  }

  /** All that a machine has; of one whose type is not known, more than any type has. */
  private Resources capacity(Machine m) {
    MachineType type = cluster.typeOf(m);
    Resources all = new Resources(0, 0, 0);
    for (MachineType t :
        type != null ? List.of(type) : List.copyOf(cluster.machineTypes().values())) {
      all.add(Resources.capacityOf(t));
    }
    return all;
  }

  /**
   * Of what the machines that may hold anything can take, as much counts into a team's share as its
   * open jobs may have launched; the rest counts against its limit only.
   */
  private void addTotals() {
    Map<String, Resources> launched = launchedUnlisted();
    Resources none = new Resources(0, 0, 0);
    teams.forEach(
        (name, team) -> {
          Resources open = listedOpen.getOrDefault(name, none);
          Resources ended = listedEnded.getOrDefault(name, none);
          Resources more = launched.getOrDefault(name, none);
          double cpus = Math.min(unlisted.cpus, more.cpus);
          double gpus = Math.min(unlisted.gpus, more.gpus);
          team.addPossible(open.cpus + cpus, open.gpus + gpus);
          team.addUnattributed(
              ended.cpus + unknown.cpus + unlisted.cpus - cpus,
              ended.gpus + unknown.gpus + unlisted.gpus - gpus);
        });
  }

  /** By team, what earlier leaders may have launched and no record of a machine names. */
  private Map<String, Resources> launchedUnlisted() {
    Map<String, Integer> listedOfJob = new HashMap<>();
    listed.forEach(task -> listedOfJob.merge(task.job(), 1, Integer::sum));
    Map<String, Resources> launched = new HashMap<>();
    for (Job job : cluster.jobs()) {
      if (cluster.mayRunOnUnreconciled(job)) {
        int more =
            job.waitingTasksLaunchedBefore().cardinality()
                - listedOfJob.getOrDefault(job.spec.id(), 0);
        launched
            .computeIfAbsent(job.spec.team(), t -> new Resources(0, 0, 0))
            .add(job.spec, Math.max(0, more));
      }
    }
    return launched;
  }
}
