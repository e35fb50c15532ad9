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
  private final Map<String, Integer> perZone;
  private boolean overdue;
  private int next;
  private int left;

  /**
   * @param tasks which tasks wait; only read, and not to be changed while the cycle runs
   * @param perZone how many of its other tasks each zone has, where the job's rules ask for that
   */
  public PendingJob(JobSpec job, long order, BitSet tasks, Map<String, Integer> perZone) {
    this.job = job;
    this.order = order;
    this.tasks = tasks;
    this.perZone = perZone.isEmpty() ? new HashMap<>(4) : new HashMap<>(perZone);
    this.next = tasks.nextSetBit(0);
    this.left = tasks.cardinality();
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
  public static boolean zonesMatter(JobSpec job) {
    return job.oneZone() || job.spread();
  }

  boolean isEmpty() {
    return left == 0;
  }

  /** How many tasks have not been placed yet. */
  int left() {
    return left;
  }

  /** The first task that has not been placed yet. */
  int next() {
    return next;
  }

  /** The first task was placed in a zone. */
  void entered(String zone) {
    next = tasks.nextSetBit(next + 1);
    left--;
    overdue = false;
    if (zonesMatter(job)) {
      perZone.merge(zone, 1, Integer::sum);
    }
  }

  /** Whether one more task of the job may be in this zone, given the job's other tasks. */
  boolean zoneAllowed(String zone) {
    if (job.oneZone() && !perZone.isEmpty() && !perZone.containsKey(zone)) {
      return false;
    }
    return !job.spread() || perZone.getOrDefault(zone, 0) < job.spreadLimit();
  }
}
