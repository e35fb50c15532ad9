package org.saffronshore.scheduling;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;

/** A job with tasks that may be placed now, and where its other tasks are or may be. */
public final class PendingJob {
  public final JobSpec job;

  /** Submission order. */
  public final long order;

  private final BitSet tasks;
  private final Map<String, Integer> tasksPerZone;
  private boolean overdue;
  private int next;
  private int remaining;

  /**
   * @param tasks which tasks wait; only read, and not to be changed while the cycle runs
   * @param tasksPerZone how many of its other tasks each zone has, where the job's rules ask for
   *     that
   */
  public PendingJob(JobSpec job, long order, BitSet tasks, Map<String, Integer> tasksPerZone) {
    this.job = job;
    this.order = order;
    this.tasks = tasks;
    this.tasksPerZone = tasksPerZone.isEmpty() ? new HashMap<>(4) : new HashMap<>(tasksPerZone);
    this.next = tasks.nextSetBit(0);
    this.remaining = tasks.cardinality();
  }

  /** The job has waited for very long, and nothing of it has ever run. */
  public PendingJob overdue() {
    overdue = true;
    return this;
  }

  /**
   * Whether its next task goes before all others; once one is placed, the job queues like any
   * other.
   */
  boolean isOverdue() {
    return overdue;
  }

  /** Whether the job's rules ask where its other tasks are. */
  public static boolean hasZoneConstraint(JobSpec job) {
    return job.singleZone() || job.spread();
  }

  boolean isEmpty() {
    return remaining == 0;
  }

  /** How many tasks have not been placed yet. */
  int remaining() {
    return remaining;
  }

  /** The first task that has not been placed yet. */
  int next() {
    return next;
  }

  /** The first task was placed in a zone. */
  void taskPlaced(String zone) {
    next = tasks.nextSetBit(next + 1);
    remaining--;
    overdue = false;
    if (hasZoneConstraint(job)) {
      tasksPerZone.merge(zone, 1, Integer::sum);
    }
  }

  /** Whether one more task of the job may be in this zone, given the job's other tasks. */
  boolean zoneAllowed(String zone) {
    if (job.singleZone() && !tasksPerZone.isEmpty() && !tasksPerZone.containsKey(zone)) {
      return false;
    }
    return !job.spread() || tasksPerZone.getOrDefault(zone, 0) < job.spreadLimit();
  }
}
