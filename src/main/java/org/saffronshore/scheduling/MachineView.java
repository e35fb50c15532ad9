package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.TaskId;

/**
 * A machine as the cycle sees it; kept from one cycle to the next as long as nothing of it changes.
 * {@code free} is what is free now; {@code room} adds what tasks that are being stopped, or are
 * evicted in memory, will leave. A task that only fits the latter is promised its place, not
 * started there.
 */
public final class MachineView {
  public final String id;
  public final MachineKind kind;
  final double cpus;
  public final Resources free;
  public final Resources freeAfterStops;
  final List<PlacedTask> preemptibleTasks = new ArrayList<>();
  final Map<String, Integer> teams = new HashMap<>(8);
  private final Predicate<TaskId> hasTraceOf;
  private final Set<String> images;

  /** The lowest class among the tasks that could be stopped, by its rank. */
  private int lowest = Integer.MAX_VALUE;

  private boolean modified;
  private boolean reserved;

  /**
   * @param hasTraceOf tasks that may not be put here
   * @param images what it holds; may change between cycles, but not in one
   */
  public MachineView(
      String id,
      MachineKind kind,
      Resources capacity,
      Predicate<TaskId> hasTraceOf,
      Set<String> images) {
    this.id = id;
    this.kind = kind;
    this.cpus = capacity.cpus;
    this.free = capacity;
    this.freeAfterStops = capacity.copy();
    this.hasTraceOf = hasTraceOf;
    this.images = images;
  }

  /** Puts a task that is there already. */
  public void add(PlacedTask slot) {
    free.subtract(slot.job());
    if (!slot.stopping()) {
      freeAfterStops.subtract(slot.job());
      teams.merge(slot.job().team(), 1, Integer::sum);
      if (!slot.exemptFromPreemption()) {
        preemptibleTasks.add(slot);
        lowest = Math.min(lowest, slot.job().priority().rank());
      }
    }
  }

  /** Whether a cycle has changed it, so that it shows the machine no longer as it is. */
  public boolean isModified() {
    return modified;
  }

  /** Whether it has tasks of a class below this one. */
  boolean hasLowerPriority(int priority) {
    return lowest < priority;
  }

  /** Whether it has tasks of any other team. */
  boolean hasOtherTeams(String team) {
    return teams.size() > 1 || (teams.size() == 1 && !teams.containsKey(team));
  }

  void evict(PlacedTask slot) {
    modified = true;
    freeAfterStops.add(slot.job());
    preemptibleTasks.remove(slot);
    teams.merge(slot.job().team(), -1, (a, b) -> a + b == 0 ? null : a + b);
  }

  void place(JobSpec job) {
    modified = true;
    freeAfterStops.subtract(job);
    teams.merge(job.team(), 1, Integer::sum);
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

  boolean hasTraceOf(TaskId task) {
    return hasTraceOf.test(task);
  }

  boolean hasImage(String image) {
    return images.contains(image);
  }

  /**
   * 0 where only this team is, 1 where others are, 2 where nobody is: the order in which sets are
   * tried.
   */
  int sharingRank(String team) {
    return teams.isEmpty() ? 2 : teams.size() == 1 && teams.containsKey(team) ? 0 : 1;
  }
}
