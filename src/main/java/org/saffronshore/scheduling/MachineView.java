package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * A scheduling cycle's view of a machine. Later cycles reuse a view as long as nothing on the
 * machine changes. A task that fits only into {@link #freeAfterStops} is assigned its resources
 * there and is not started yet.
 */
public final class MachineView {

  /**
   * Which teams have tasks on a machine. The constants are in the order in which machines are
   * packed for a team.
   */
  enum Sharing {
    /** Only tasks of the team. */
    EXCLUSIVE,
    /** Tasks of other teams, with or without tasks of the team. */
    SHARED,
    /** No tasks. */
    EMPTY
  }

  private final String id;
  private final MachineKind kind;
  private final double totalCpus;
  private final Resources freeNow;
  private final Resources freeAfterStops;
  private final List<PlacedTask> preemptibleTasks = new ArrayList<>();
  private final Map<String, Integer> tasksPerTeam = new HashMap<>(8);
  private final Predicate<TaskId> hasRecordOf;
  private final Set<String> images;

  /**
   * The lowest priority rank among the preemptible tasks. Not updated by evictions, so that the
   * actual lowest rank may be higher.
   */
  private int lowestPriorityRank = Integer.MAX_VALUE;

  private boolean modified;
  private boolean reserved;

  /**
   * Creates a view of a machine without tasks.
   *
   * @param capacity the total resources; this object is used and modified as {@link #freeNow}
   * @param hasRecordOf whether the machine still has a record of a task, which may then not be
   *     placed on it
   * @param images the images on the machine; may change between cycles, but not during one
   */
  public MachineView(
      String id,
      MachineKind kind,
      Resources capacity,
      Predicate<TaskId> hasRecordOf,
      Set<String> images) {
    this.id = id;
    this.kind = kind;
    this.totalCpus = capacity.cpus;
    this.freeNow = capacity;
    this.freeAfterStops = capacity.copy();
    this.hasRecordOf = hasRecordOf;
    this.images = images;
  }

  /** Adds a task that is already on the machine. */
  public void add(PlacedTask task) {
    freeNow.subtract(task.job());
    if (!task.stopping()) {
      freeAfterStops.subtract(task.job());
      tasksPerTeam.merge(task.job().team(), 1, Integer::sum);
      if (!task.exemptFromPreemption()) {
        preemptibleTasks.add(task);
        lowestPriorityRank = Math.min(lowestPriorityRank, task.job().priority().rank());
      }
    }
  }

  /**
   * Returns whether a cycle has modified this view, so that it no longer reflects the state of the
   * machine.
   */
  public boolean isModified() {
    return modified;
  }

  String id() {
    return id;
  }

  MachineKind kind() {
    return kind;
  }

  /** Returns the total number of CPUs. */
  double totalCpus() {
    return totalCpus;
  }

  /**
   * Returns the resources that are free now. The cycle subtracts those of the tasks that it starts.
   */
  Resources freeNow() {
    return freeNow;
  }

  /**
   * Returns the resources that are free now or will be released by tasks that are being stopped or
   * were evicted in memory, less those of the tasks that the cycle has placed.
   */
  Resources freeAfterStops() {
    return freeAfterStops;
  }

  /** Returns the tasks that may be preempted and were not evicted; a live view. */
  List<PlacedTask> preemptibleTasks() {
    return preemptibleTasks;
  }

  /**
   * Returns whether the machine may have preemptible tasks of a lower priority than the given one.
   */
  boolean mayHaveTasksBelow(Priority priority) {
    return lowestPriorityRank < priority.rank();
  }

  /** Returns whether the machine has tasks of any team other than the given one. */
  boolean hasTasksOfOtherTeams(String team) {
    return tasksPerTeam.size() > 1 || (tasksPerTeam.size() == 1 && !tasksPerTeam.containsKey(team));
  }

  /** Evicts a preemptible task, in memory only. */
  void evict(PlacedTask task) {
    modified = true;
    freeAfterStops.add(task.job());
    preemptibleTasks.remove(task);
    tasksPerTeam.computeIfPresent(
        task.job().team(), (team, tasks) -> tasks == 1 ? null : tasks - 1);
  }

  /** Assigns resources to a task of the job. They need not be free yet. */
  void place(JobSpec job) {
    modified = true;
    freeAfterStops.subtract(job);
    tasksPerTeam.merge(job.team(), 1, Integer::sum);
  }

  /**
   * Reserves the machine for the rest of the cycle: no more tasks that require CPUs are placed on
   * it, and {@link PreemptionPlanner} does not select it.
   */
  void reserve() {
    modified = true;
    reserved = true;
    freeAfterStops.cpus = 0;
  }

  boolean isReserved() {
    return reserved;
  }

  boolean hasRecordOf(TaskId task) {
    return hasRecordOf.test(task);
  }

  boolean hasImage(String image) {
    return images.contains(image);
  }

  Sharing sharing(String team) {
    if (tasksPerTeam.isEmpty()) {
      return Sharing.EMPTY;
    }
    return hasTasksOfOtherTeams(team) ? Sharing.SHARED : Sharing.EXCLUSIVE;
  }
}
