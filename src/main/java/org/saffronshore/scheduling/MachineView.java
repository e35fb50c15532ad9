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
 * A machine as the cycle sees it; reused by later cycles as long as nothing on it changes. A task
 * that fits only into {@link #freeAfterStops} keeps its place, and is not started there yet.
 */
public final class MachineView {

  /** Which teams a machine has, in the order in which machines are packed for a team. */
  enum Sharing {
    /** Only the team. */
    EXCLUSIVE,
    /** Other teams, with the team or without it. */
    SHARED,
    /** No team. */
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

  /** The lowest rank of a priority among the preemptible tasks; may be too low after evictions. */
  private int lowestPriorityRank = Integer.MAX_VALUE;

  private boolean modified;
  private boolean reserved;

  /**
   * A machine without tasks.
   *
   * @param capacity all that it has; becomes what is free now, and is changed
   * @param hasRecordOf tasks that may not be placed here
   * @param images what it holds; may change between cycles, but not in one
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

  /** Adds a task that is on the machine already. */
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

  /** Whether a cycle has changed it, so that it shows the machine no longer as it is. */
  public boolean isModified() {
    return modified;
  }

  String id() {
    return id;
  }

  MachineKind kind() {
    return kind;
  }

  /** The CPUs of the empty machine. */
  double totalCpus() {
    return totalCpus;
  }

  /** What is free now; the cycle subtracts what it starts. */
  Resources freeNow() {
    return freeNow;
  }

  /**
   * What is free now and what tasks that are being stopped, or are evicted in memory, will leave.
   */
  Resources freeAfterStops() {
    return freeAfterStops;
  }

  /** The tasks that may be preempted and are not evicted. */
  List<PlacedTask> preemptibleTasks() {
    return preemptibleTasks;
  }

  /** Whether it may have preemptible tasks of a priority below this one. */
  boolean mayHaveTasksBelow(Priority priority) {
    return lowestPriorityRank < priority.rank();
  }

  /** Whether it has tasks of any other team. */
  boolean hasTasksOfOtherTeams(String team) {
    return tasksPerTeam.size() > 1 || (tasksPerTeam.size() == 1 && !tasksPerTeam.containsKey(team));
  }

  /** Frees the place of a preemptible task, in memory. */
  void evict(PlacedTask task) {
    modified = true;
    freeAfterStops.add(task.job());
    preemptibleTasks.remove(task);
    tasksPerTeam.computeIfPresent(
        task.job().team(), (team, tasks) -> tasks == 1 ? null : tasks - 1);
  }

  /** Gives a task of the job its place, which need not be free yet. */
  void place(JobSpec job) {
    modified = true;
    freeAfterStops.subtract(job);
    tasksPerTeam.merge(job.team(), 1, Integer::sum);
  }

  /** Takes nothing more in this cycle. */
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
