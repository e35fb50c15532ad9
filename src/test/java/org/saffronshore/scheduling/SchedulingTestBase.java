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

/** Machines, waiting jobs and teams that a test sets up, and cycles over them. */
abstract class SchedulingTestBase {
  static final double NOW = 100;

  /** Since when the tasks run that {@link #addRunningTasks} adds. */
  private static final double RUNNING_SINCE = NOW - 10;

  final List<MachineView> machines = new ArrayList<>();
  final List<PendingJob> jobs = new ArrayList<>();
  final Map<String, Team> teams = new HashMap<>();

  /** Adds a team with a guarantee and a limit of CPUs; 0 for none. */
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

  /** Adds an ordinary machine in zone a. */
  MachineView addMachine(String id, double cpus) {
    return addMachine(id, "a", false, cpus);
  }

  /** Adds a machine that has traces of some tasks. */
  MachineView addMachine(String id, String zone, boolean spot, double cpus, TaskId... traces) {
    MachineView machine =
        new MachineView(
            id,
            new MachineKind("big", zone, spot),
            new Resources(cpus, 0, 1000),
            new HashSet<>(Arrays.asList(traces))::contains,
            Set.of());
    machines.add(machine);
    return machine;
  }

  /** Adds the tasks of a job from one index up to another, which run on a machine. */
  void addRunningTasks(MachineView machine, JobSpec job, int from, int to) {
    for (int i = from; i < to; i++) {
      machine.add(new PlacedTask(new TaskId(job.id(), i), job, false, RUNNING_SINCE));
      team(job.team()).addLaunched(job, SchedulingSettings.DEFAULTS);
    }
  }

  /** Adds a job of which all tasks wait. */
  PendingJob addWaitingJob(JobSpec job, long submissionOrder) {
    BitSet tasks = new BitSet();
    tasks.set(0, job.tasks());
    PendingJob pending = new PendingJob(job, submissionOrder, tasks, Map.of());
    jobs.add(pending);
    return pending;
  }

  /** Runs a cycle, which evicts if the probability is above 0. */
  SchedulingPlan run(double evictionProbability) {
    SchedulingSettings settings = new SchedulingSettings(5, evictionProbability, 1, 0);
    return SchedulingCycle.run(
        machines, jobs, teams, settings, evictionProbability > 0, new Random(1), NOW);
  }

  /** The ids of the jobs of which tasks were placed, one for each task in the order of placing. */
  static List<String> placedJobs(SchedulingPlan plan) {
    return plan.placements().stream().map(placement -> placement.task().job()).toList();
  }

  /** The ids of the machines on which tasks were placed, in the order of placing. */
  static List<String> machinesUsed(SchedulingPlan plan) {
    return plan.placements().stream().map(SchedulingPlan.Placement::machine).toList();
  }
}
