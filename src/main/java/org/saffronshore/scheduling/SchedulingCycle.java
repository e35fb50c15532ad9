package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * One scheduling cycle, following the design in "Armada Scheduler":
 *
 * <ol>
 *   <li>The waiting jobs are queued by team ({@link TeamQueues}).
 *   <li>In a full cycle, running tasks on some machines are evicted in memory and also queued
 *       ({@link Eviction}).
 *   <li>Until all queues are empty, the next team in order ({@link FairShareOrder}) places its next
 *       task. An evicted task can only be placed on the machine that it runs on. A waiting task is
 *       placed on the best machine where it fits ({@link MachineSelector}), or otherwise on a
 *       machine where preemption frees enough resources ({@link PreemptionPlanner}).
 *   <li>Evicted tasks that could not be placed again are preempted.
 * </ol>
 *
 * <p>Deviations from the design are documented in the classes named above. The result depends only
 * on the arguments, of which the machines, jobs and teams are modified.
 */
public final class SchedulingCycle {
  private final Collection<MachineView> machines;
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;
  private final FailedPlacements failures = new FailedPlacements();
  private final MachineSelector machineSelector;
  private final PreemptionPlanner preemptionPlanner;
  private final List<SchedulingPlan.Placement> placements = new ArrayList<>();
  private final List<SchedulingPlan.Preemption> preemptions = new ArrayList<>();
  private final List<SchedulingPlan.UnplacedTasks> unplaced = new ArrayList<>();
  private final List<SchedulingPlan.QuotaLimitedTasks> quotaLimited = new ArrayList<>();

  private SchedulingCycle(
      Collection<MachineView> machines,
      Map<String, Team> teams,
      SchedulingSettings settings,
      double now) {
    this.machines = machines;
    this.teams = teams;
    this.settings = settings;
    this.machineSelector = new MachineSelector(machines, failures);
    this.preemptionPlanner =
        new PreemptionPlanner(machines, new VictimSelector(teams, settings, now), failures);
  }

  /**
   * Runs a cycle.
   *
   * @param machines the machines that may take tasks; among equally good ones the first is selected
   * @param jobs the jobs with tasks that may be placed
   * @param teams the teams by name, with the resources that their tasks use
   * @param evict whether this is a full cycle, which may evict running tasks
   * @param random selects the machines whose tasks are evicted
   * @param now the current time in seconds, on the same clock as {@link PlacedTask#runningSince}
   */
  public static SchedulingPlan run(
      Collection<MachineView> machines,
      Collection<PendingJob> jobs,
      Map<String, Team> teams,
      SchedulingSettings settings,
      boolean evict,
      RandomGenerator random,
      double now) {
    TeamQueues queues = new TeamQueues(jobs, teams);
    if (evict) {
      Eviction.run(machines, queues, settings, random);
    }
    SchedulingCycle cycle = new SchedulingCycle(machines, teams, settings, now);
    cycle.placeAll(queues);
    return new SchedulingPlan(
        cycle.placements, cycle.preemptions, cycle.unplaced, cycle.quotaLimited);
  }

  private void placeAll(TeamQueues queues) {
    FairShareOrder order = new FairShareOrder(queues.all(), settings);
    while (!order.isEmpty()) {
      TeamQueue queue = order.removeFirst();
      if (placeNext(queue.head(), queue.team())) {
        queue.removeHead();
      }
      if (!queue.isEmpty()) {
        order.add(queue);
      }
    }
  }

  /** Places one task of the entry; returns whether the entry is finished and leaves the queue. */
  private boolean placeNext(QueueEntry entry, Team team) {
    if (entry instanceof QueueEntry.Evicted evicted) {
      placeEvicted(evicted, team);
      return true;
    }
    PendingJob pending = ((QueueEntry.Waiting) entry).pending();
    JobSpec job = pending.job();
    if (!team.isWithinLimitWith(job)) {
      quotaLimited.add(
          new SchedulingPlan.QuotaLimitedTasks(
              job,
              pending.remaining(),
              team.isWithinLimitIfReconciledWith(job),
              team.quotaUsage()));
      return true;
    }
    TaskId task = new TaskId(job.id(), pending.nextTask());
    MachineView machine = machineSelector.select(pending, task);
    if (machine == null) {
      machine = preempt(pending, task, team);
    }
    if (machine == null) {
      if (pending.isOverdue()) {
        OverdueReservation.reserve(machines, pending, task);
      }
      unplaced.add(
          new SchedulingPlan.UnplacedTasks(job, team.tasksWithinLimit(job, pending.remaining())));
      return true;
    }
    place(pending, task, machine, team);
    return pending.isEmpty();
  }

  /** Places an evicted task on its machine again, or preempts it if it no longer fits there. */
  private void placeEvicted(QueueEntry.Evicted evicted, Team team) {
    JobSpec job = evicted.job();
    MachineView machine = evicted.machine();
    if (machine.freeAfterStops().fits(job)) {
      machine.place(job);
      team.addToShare(job, settings);
      failures.onTeamShareIncreased();
    } else {
      preemptions.add(
          new SchedulingPlan.Preemption(
              evicted.task().task(), machine.id(), new PreemptionReason.EvictedForGuarantee()));
    }
  }

  /**
   * Places a task. If the task fits only after other tasks have stopped, its resources are assigned
   * in this cycle and it is started in a later one.
   */
  private void place(PendingJob pending, TaskId task, MachineView machine, Team team) {
    JobSpec job = pending.job();
    boolean overdue = pending.isOverdue();
    pending.markNextTaskPlaced(machine.kind().zone());
    QuotaUsage usageBefore = team.quotaUsage();
    team.addLaunched(job, settings);
    failures.onTeamShareIncreased();
    machine.place(job);
    if (machine.freeNow().fits(job)) {
      machine.freeNow().subtract(job);
      placements.add(new SchedulingPlan.Placement(task, machine.id(), overdue, usageBefore));
    }
  }

  /**
   * Preempts tasks to free resources for a task; returns the machine, or null if no permitted
   * preemption frees enough.
   */
  private @Nullable MachineView preempt(PendingJob pending, TaskId task, Team team) {
    JobSpec job = pending.job();
    boolean guaranteed = team.isWithinGuaranteeWith(job);
    PreemptionPlanner.Choice choice = preemptionPlanner.find(pending, task, guaranteed);
    if (choice == null) {
      return null;
    }
    MachineView machine = choice.machine();
    PreemptionReason reason =
        guaranteed
            ? new PreemptionReason.Guarantee(job.team())
            : new PreemptionReason.HigherPriority(job.id());
    for (PlacedTask victim : choice.victims()) {
      machine.evict(victim);
      Team owner = Objects.requireNonNull(teams.get(victim.job().team()));
      owner.removeFromShare(victim.job(), settings);
      preemptions.add(new SchedulingPlan.Preemption(victim.task(), machine.id(), reason));
    }
    failures.onTasksPreempted();
    return machine;
  }
}
