package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/**
 * A read-only view of the machines' capacity for the autoscaler: free resources, when running tasks
 * will release more, and which tasks could be moved.
 */
public final class CapacityView {
  /** A task is moved only if its remaining runtime is at least this many checkpoint durations. */
  private static final double MIN_REMAINING_CHECKPOINTS = 4;

  private final EventLoop loop;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final RuntimeEstimator runtimeEstimator;

  CapacityView(
      EventLoop loop,
      MachineTable machines,
      Reconciliation reconciliation,
      RuntimeEstimator runtimeEstimator) {
    this.loop = loop;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.runtimeEstimator = runtimeEstimator;
  }

  /** Returns the free resources of a machine, or null if no tasks may be placed on it now. */
  public @Nullable Resources freeResources(Machine machine) {
    MachineType type = machines.typeOf(machine);
    if (type == null || !machine.isSchedulable(loop.now())) {
      return null;
    }
    Resources free = Resources.capacityOf(type);
    for (Attempt attempt : machine.tasks().active()) {
      free.subtract(
          Objects.requireNonNull(
              attempt.job(), "all tasks on a schedulable machine must belong to known jobs"));
    }
    return free;
  }

  /**
   * Returns the timelines of the machines on which the autoscaler may rely: those that are up or
   * starting.
   *
   * @param lateBootFactor a starting machine is left out after this many times its boot time
   * @param countReleased whether to include the resources that running tasks will release
   */
  public List<Forecast.MachineTimeline> machineTimelines(
      double lateBootFactor, boolean countReleased) {
    double now = loop.now();
    List<Forecast.MachineTimeline> timelines = new ArrayList<>();
    for (Machine machine : machines.all()) {
      MachineType type = machines.typeOf(machine);
      if (type == null || !machine.isReliable(now)) {
        continue;
      }
      if (machine.isUp() && reconciliation.mayHoldTasks(machine)) {
        timelines.add(timeline(machine, type, countReleased, now));
      } else if (isStarting(machine, now - type.bootS() * lateBootFactor)) {
        double bootedAt = machine.rentedAt() + type.bootS();
        double upAt = machine.isUp() ? now : Math.max(now, bootedAt);
        timelines.add(
            new Forecast.MachineTimeline(machine.kind(), Resources.capacityOf(type), upAt));
      }
    }
    return timelines;
  }

  /**
   * Returns whether the machine was rented after the given moment and is starting: it has not been
   * heard from, or not since it received its first message of this term.
   */
  private static boolean isStarting(Machine machine, double rentedAfter) {
    boolean unproven = machine.isUp() && !machine.isReconciled();
    return (!machine.wasEverUp() || unproven) && machine.rentedAt() > rentedAfter;
  }

  private Forecast.MachineTimeline timeline(
      Machine machine, MachineType type, boolean countReleased, double now) {
    Resources free = Resources.capacityOf(type);
    Forecast.MachineTimeline timeline =
        new Forecast.MachineTimeline(
            machine.kind(), free, Math.max(now, machine.health().backoffUntil()));
    for (Attempt attempt : machine.tasks().active()) {
      JobSpec job = attempt.job();
      if (job == null) {
        continue;
      }
      free.subtract(job);
      if (countReleased) {
        timeline.addRunningTask(job, now + remainingRuntimeS(job, attempt, now));
      }
    }
    return timeline;
  }

  private double remainingRuntimeS(JobSpec job, Attempt attempt, double now) {
    return runtimeEstimator.remainingRuntimeS(job, attempt.runningSince(), now);
  }

  /** Returns the number of tasks of each job on machines of the given types. */
  public List<DisplacedTasks.Running> tasksOnMachineTypes(Set<String> types) {
    Map<String, Map<String, DisplacedTasks.Running>> byType = new HashMap<>();
    for (Machine machine : machines.all()) {
      String type = machine.type();
      if (machine.isUp() && type != null && types.contains(type)) {
        for (Attempt attempt : machine.attempts()) {
          JobSpec job = attempt.job();
          if (job != null) {
            byType
                .computeIfAbsent(type, name -> new LinkedHashMap<>())
                .merge(
                    job.id(),
                    new DisplacedTasks.Running(type, job, 1),
                    (sum, added) ->
                        new DisplacedTasks.Running(sum.type(), sum.job(), sum.tasks() + 1));
          }
        }
      }
    }
    List<DisplacedTasks.Running> running = new ArrayList<>();
    byType.values().forEach(byJob -> running.addAll(byJob.values()));
    return running;
  }

  /**
   * Returns whether the machine has tasks and all of them can be moved: each supports checkpoints,
   * has run for at least the given time, has enough runtime left, and has no zone constraint.
   *
   * @param minRunS the time in seconds for which each task must have been running
   */
  public boolean isMovable(Machine machine, double minRunS) {
    double now = loop.now();
    if (machine.isEmpty() || !machine.isSchedulable(now)) {
      return false;
    }
    for (Attempt attempt : machine.attempts()) {
      if (!isMovable(attempt, minRunS, now)) {
        return false;
      }
    }
    return true;
  }

  private boolean isMovable(Attempt attempt, double minRunS, double now) {
    JobSpec job = attempt.job();
    return job != null
        && job.supportsCheckpoints()
        && !job.singleZone()
        && !job.spread()
        && !attempt.isStopping()
        && attempt.state() == Attempt.State.RUNNING
        && now >= attempt.runningSince() + minRunS
        && remainingRuntimeS(job, attempt, now)
            >= MIN_REMAINING_CHECKPOINTS * job.checkpointDurationS();
  }

  /** Returns the expected runtime of a task of the job, in seconds. */
  public double expectedRuntimeS(JobSpec job) {
    return runtimeEstimator.expectedRuntimeS(job);
  }
}
