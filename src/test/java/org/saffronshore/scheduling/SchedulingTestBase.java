package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.saffronshore.config.TeamQuota;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.TaskId;

/** Base class of tests that set up machines, waiting jobs and teams, and run scheduling cycles. */
abstract class SchedulingTestBase {
  static final double NOW = 100;

  /** The start time of the tasks that {@link #addRunningTasks} adds. */
  private static final double RUNNING_SINCE = NOW - 10;

  final List<MachineView> machines = new ArrayList<>();
  final List<PendingJob> jobs = new ArrayList<>();
  final Map<String, Team> teams = new HashMap<>();

  /** Adds a team with a guarantee and a limit in CPUs; 0 for none. */
  void addTeam(String name, double guaranteedCpus, double maxCpus) {
    teams.put(
        name,
        new Team(
            new TeamQuota(name, guaranteedCpus, maxCpus, 0, 0),
            guaranteedCpus > 0 ? guaranteedCpus : 1));
  }

  Team team(String name) {
    return Objects.requireNonNull(teams.get(name));
  }

  /** Adds an on-demand machine in zone a. */
  MachineView addMachine(String id, double cpus) {
    return addMachine(id, "a", false, cpus);
  }

  /** Adds a machine that still has a record of some tasks. */
  MachineView addMachine(
      String id, String zone, boolean spot, double cpus, TaskId... recordedTasks) {
    MachineView machine =
        new MachineView(
            id,
            new MachineKind("big", zone, spot),
            new Resources(cpus, 0, 1000),
            new HashSet<>(Arrays.asList(recordedTasks))::contains,
            Set.of());
    machines.add(machine);
    return machine;
  }

  /**
   * Adds running tasks of a job to a machine, with the indices from {@code from}, inclusive, to
   * {@code to}, exclusive.
   */
  void addRunningTasks(MachineView machine, JobSpec job, int from, int to) {
    for (int i = from; i < to; i++) {
      machine.add(new PlacedTask(new TaskId(job.id(), i), job, false, RUNNING_SINCE));
      team(job.team()).addLaunched(job, SchedulingSettings.DEFAULTS);
    }
  }

  /** Adds a job whose tasks are all waiting. */
  PendingJob addWaitingJob(JobSpec job, long submissionOrder) {
    BitSet tasks = new BitSet();
    tasks.set(0, job.tasks());
    PendingJob pending = new PendingJob(job, submissionOrder, tasks, Map.of());
    jobs.add(pending);
    return pending;
  }

  /** Runs a cycle, which is a full one if the probability is above 0. */
  SchedulingPlan run(double evictionProbability) {
    SchedulingSettings settings = new SchedulingSettings(5, evictionProbability, 1, 0);
    return SchedulingCycle.run(
        machines, jobs, teams, settings, evictionProbability > 0, new Random(1), NOW);
  }

  /** Returns the id of the job of each placed task, in the order of placement. */
  static List<String> placedJobs(SchedulingPlan plan) {
    return plan.placements().stream().map(placement -> placement.task().job()).toList();
  }

  /** Returns the id of the machine of each placed task, in the order of placement. */
  static List<String> machinesUsed(SchedulingPlan plan) {
    return plan.placements().stream().map(SchedulingPlan.Placement::machine).toList();
  }
}
