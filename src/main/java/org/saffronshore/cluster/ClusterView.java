package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.saffronshore.config.Settings;
import org.saffronshore.config.TeamQuota;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.MachineView;
import org.saffronshore.scheduling.PendingJob;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/**
 * A read-only view of the cluster: machines, pending jobs and teams for the scheduling cycle, and a
 * summary for the log.
 */
public final class ClusterView {
  /** A job is overdue after waiting for this many worker leases without ever having run. */
  private static final double OVERDUE_LEASES = 4;

  private final EventLoop loop;
  private final Settings settings;
  private final JobTable jobs;
  private final MachineTable machines;
  private final Reconciliation reconciliation;

  ClusterView(
      EventLoop loop,
      Settings settings,
      JobTable jobs,
      MachineTable machines,
      Reconciliation reconciliation) {
    this.loop = loop;
    this.settings = settings;
    this.jobs = jobs;
    this.machines = machines;
    this.reconciliation = reconciliation;
  }

  // For the log

  /** Returns the fields of a log line that summarizes capacity, usage and waiting work. */
  public String summary() {
    int up = 0;
    int notUp = 0;
    int pullingTasks = 0;
    double upCpus = 0;
    double usedCpus = 0;
    double runningCpus = 0;
    for (Machine machine : machines.all()) {
      MachineType type = machines.typeOf(machine);
      if (!machine.isUp() || type == null) {
        notUp++;
        continue;
      }
      up++;
      upCpus += type.cpus();
      for (Attempt attempt : machine.attempts()) {
        JobSpec job = attempt.job();
        double cpus = job == null ? 0 : job.cpus();
        usedCpus += cpus;
        runningCpus += attempt.state() == Attempt.State.RUNNING ? cpus : 0;
        pullingTasks += attempt.state() == Attempt.State.PULLING_IMAGE ? 1 : 0;
      }
    }
    return String.format(
        Locale.ROOT,
        "machines=%d up=%d not_up=%d unreconciled=%d cpus_up=%d cpus_used=%d cpus_running=%d"
            + " open_jobs=%d waiting_tasks=%d pulling_tasks=%d jobs_waiting_for_dependencies=%d",
        machines.all().size(),
        up,
        notUp,
        reconciliation.unreconciledMachines().size(),
        Math.round(upCpus),
        Math.round(usedCpus),
        Math.round(runningCpus),
        jobs.all().size(),
        waitingTasks(),
        pullingTasks,
        jobs.dependencies().waitingJobCount());
  }

  private int waitingTasks() {
    int waitingTasks = 0;
    for (Job job : jobs.all()) {
      waitingTasks += job.isReady() ? job.waitingTasks().cardinality() : 0;
    }
    return waitingTasks;
  }

  // For the scheduling cycle

  /**
   * Returns the machines on which tasks may be placed. The views of machines that have not changed
   * since the last call are reused.
   */
  public List<MachineView> schedulableMachines() {
    double now = loop.now();
    List<MachineView> views = new ArrayList<>(machines.all().size());
    for (Machine machine : machines.all()) {
      MachineType type = machines.typeOf(machine);
      if (type != null && machine.isSchedulable(now)) {
        views.add(machine.view(type));
      }
    }
    return views;
  }

  /**
   * Returns the jobs with tasks that may be placed now.
   *
   * @param canRaiseWatermarks whether launch watermarks can be written; if not, tasks at or above
   *     the current launch watermark of their job have to wait
   */
  public List<PendingJob> pendingJobs(boolean canRaiseWatermarks) {
    double now = loop.now();
    List<PendingJob> pendingJobs = new ArrayList<>();
    boolean anyMayHoldAnyTask = reconciliation.anyMayHoldAnyTask();
    for (Job job : jobs.all()) {
      if (!job.isReady() || job.waitingTasks().isEmpty() || job.isInBackoff(now)) {
        continue;
      }
      BitSet tasks =
          reconciliation.mayRunOnUnreconciledMachine(job)
              ? waitingTasksNotOnUnreconciled(job, anyMayHoldAnyTask)
              : job.waitingTasks();
      if (!canRaiseWatermarks) {
        tasks = tasks.get(0, Math.min(job.launchWatermark(), job.spec().tasks()));
      }
      boolean zonesMatter = PendingJob.hasZoneConstraint(job.spec());
      if (tasks.isEmpty() || (zonesMatter && reconciliation.mayRunInUnknownZone(job))) {
        continue;
      }
      Map<String, Integer> perZone = zonesMatter ? tasksPerZone(job) : Map.of();
      PendingJob pendingJob = new PendingJob(job.spec(), job.version(), tasks, perZone);
      pendingJobs.add(isOverdue(job) ? pendingJob.markOverdue() : pendingJob);
    }
    return pendingJobs;
  }

  /** Returns the waiting tasks of the job except for those that unreconciled machines may hold. */
  private BitSet waitingTasksNotOnUnreconciled(Job job, boolean anyMayHoldAnyTask) {
    BitSet tasks = (BitSet) job.waitingTasks().clone();
    if (anyMayHoldAnyTask) {
      tasks.andNot(job.waitingTasksLaunchedBefore());
      return tasks;
    }
    for (Machine machine : reconciliation.unreconciledMachines()) {
      for (TaskId task : machine.possibleTasks().listedTasks()) {
        if (task.job().equals(job.id())) {
          tasks.clear(task.index());
        }
      }
    }
    return tasks;
  }

  /** Returns the number of tasks of the job that are or may be in each zone. */
  private static Map<String, Integer> tasksPerZone(Job job) {
    Map<String, Integer> perZone = new HashMap<>();
    job.placedAttempts().forEach(attempt -> addToZone(attempt, perZone));
    job.duplicateAttempts().forEach(attempt -> addToZone(attempt, perZone));
    return perZone;
  }

  private static void addToZone(Attempt attempt, Map<String, Integer> perZone) {
    perZone.merge(attempt.machine().zone(), 1, Integer::sum);
  }

  /**
   * Returns whether the job has waited for more than {@link #OVERDUE_LEASES} leases and none of its
   * tasks has ever run or is placed.
   */
  private boolean isOverdue(Job job) {
    double limitS = OVERDUE_LEASES * settings.workerLeaseS();
    return job.waitingTimeS(loop.wallClockMs()) > limitS && job.hasNotStarted();
  }

  /**
   * Returns the teams by name, with what their tasks use or may be using.
   *
   * @param weights weights set by operators, by team; the default for other teams is the sum of
   *     their guaranteed CPUs and GPUs, or 1 if they have no guarantee
   */
  public Map<String, Team> teams(
      SchedulingSettings schedulingSettings, Map<String, Double> weights) {
    Map<String, Team> teams = new HashMap<>();
    for (TeamQuota quota : settings.teams().values()) {
      double guarantee = quota.guaranteedCpus() + quota.guaranteedGpus();
      double weight = weights.getOrDefault(quota.name(), guarantee > 0 ? guarantee : 1.0);
      teams.put(quota.name(), new Team(quota, weight));
    }
    QuotaAccounting.count(jobs, machines, reconciliation, teams, schedulingSettings);
    return teams;
  }
}
