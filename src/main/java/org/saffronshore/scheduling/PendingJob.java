package org.saffronshore.scheduling;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A job with tasks that may be placed now, and the number of its other tasks that are or may be in
 * each zone.
 */
public final class PendingJob {
  private final JobSpec job;
  private final long submissionOrder;
  private final BitSet waitingTasks;
  private final Map<String, Integer> tasksPerZone;
  private boolean overdue;
  private int nextTask;
  private int remaining;

  /**
   * Creates a job that is not overdue.
   *
   * @param submissionOrder the position in the order of submission; among jobs that are otherwise
   *     equal, the job with the smaller value is placed first
   * @param waitingTasks the indexes of the waiting tasks; not modified here, and must not be
   *     modified while the cycle runs
   * @param tasksPerZone the number of the job's other tasks in each zone; only used if {@link
   *     #hasZoneConstraint} is true for the job
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

  /** Marks the job as overdue: it has waited for very long and none of its tasks has ever run. */
  public PendingJob markOverdue() {
    overdue = true;
    return this;
  }

  /** Returns whether the zones of a job's other tasks constrain the placement of its next task. */
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
   * Returns whether the job's next task is placed before all others. Once one task has been placed,
   * the job is queued like any other.
   */
  boolean isOverdue() {
    return overdue;
  }

  boolean isEmpty() {
    return remaining == 0;
  }

  /** Returns the number of waiting tasks that have not been placed yet. */
  int remaining() {
    return remaining;
  }

  /**
   * Returns the index of the first waiting task that has not been placed yet, or -1 if there is
   * none.
   */
  int nextTask() {
    return nextTask;
  }

  /** Marks the next task as placed in a zone and advances to the following one. */
  void markNextTaskPlaced(String zone) {
    nextTask = waitingTasks.nextSetBit(nextTask + 1);
    remaining--;
    overdue = false;
    if (hasZoneConstraint(job)) {
      tasksPerZone.merge(zone, 1, Integer::sum);
    }
  }

  /**
   * Returns whether a task may not be placed on a machine, either because of the zones of the job's
   * other tasks or because the machine still has a record of the task.
   */
  boolean isExcludedFrom(MachineView machine, TaskId task) {
    return !isZoneAllowed(machine.kind().zone()) || machine.hasRecordOf(task);
  }

  /**
   * Returns whether the zones of the job's other tasks allow one more task in this zone. If the
   * tasks of a job that must be in a single zone are or may be in several, no zone is allowed.
   */
  boolean isZoneAllowed(String zone) {
    boolean inOtherZone = tasksPerZone.size() > (tasksPerZone.containsKey(zone) ? 1 : 0);
    if (job.singleZone() && inOtherZone) {
      return false;
    }
    return !job.spread() || tasksPerZone.getOrDefault(zone, 0) < job.spreadLimit();
  }
}
