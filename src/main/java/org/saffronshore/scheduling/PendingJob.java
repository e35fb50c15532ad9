package org.saffronshore.scheduling;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** A job with tasks that may be placed now, and the zones where its other tasks are or may be. */
public final class PendingJob {
  private final JobSpec job;
  private final long submissionOrder;
  private final BitSet waitingTasks;
  private final Map<String, Integer> tasksPerZone;
  private boolean overdue;
  private int nextTask;
  private int remaining;

  /**
   * A job that is not overdue.
   *
   * @param submissionOrder of two jobs that are otherwise equal, the one with the smaller value
   *     goes first
   * @param waitingTasks which tasks wait; only read, and not to be changed while the cycle runs
   * @param tasksPerZone how many of its other tasks each zone has, where {@link #hasZoneConstraint}
   */
  public PendingJob(
      JobSpec job, long submissionOrder, BitSet waitingTasks, Map<String, Integer> tasksPerZone) {
    this.job = job;
    this.submissionOrder = submissionOrder;
    this.waitingTasks = waitingTasks;
    this.tasksPerZone = tasksPerZone.isEmpty() ? new HashMap<>(4) : new HashMap<>(tasksPerZone);
    this.nextTask = waitingTasks.nextSetBit(0);
    this.remaining = waitingTasks.cardinality();
  }

  /** Notes that the job has waited for very long, and nothing of it has ever run. */
  public PendingJob markOverdue() {
    overdue = true;
    return this;
  }

  /** Whether the job is constrained by the zones of its other tasks. */
  public static boolean hasZoneConstraint(JobSpec job) {
    return job.singleZone() || job.spread();
  }

  public JobSpec job() {
    return job;
  }

  long submissionOrder() {
    return submissionOrder;
  }

  /**
   * Whether its next task goes before all others; once one is placed, the job queues like any
   * other.
   */
  boolean isOverdue() {
    return overdue;
  }

  boolean isEmpty() {
    return remaining == 0;
  }

  /** How many tasks have not been placed yet. */
  int remaining() {
    return remaining;
  }

  /** The index of the first task that has not been placed yet. */
  int nextTask() {
    return nextTask;
  }

  /** Notes that the next task was placed in a zone. */
  void markNextTaskPlaced(String zone) {
    nextTask = waitingTasks.nextSetBit(nextTask + 1);
    remaining--;
    overdue = false;
    if (hasZoneConstraint(job)) {
      tasksPerZone.merge(zone, 1, Integer::sum);
    }
  }

  /** Whether the zones of the job's other tasks, or the task's past, rule out a machine. */
  boolean isExcludedFrom(MachineView machine, TaskId task) {
    return !isZoneAllowed(machine.kind().zone()) || machine.hasRecordOf(task);
  }

  /** Whether one more task of the job may be in this zone, given the job's other tasks. */
  boolean isZoneAllowed(String zone) {
    if (job.singleZone() && !tasksPerZone.isEmpty() && !tasksPerZone.containsKey(zone)) {
      return false;
    }
    return !job.spread() || tasksPerZone.getOrDefault(zone, 0) < job.spreadLimit();
  }
}
