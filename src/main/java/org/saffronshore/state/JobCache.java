package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.state.JobStore.JobStatus;

/**
 * What one controller remembers of jobs. Only facts that never change are kept: how a job ended,
 * and which version an accepted job's record has and which jobs it needs. Whether a job is still
 * open changes, and is never answered from here.
 */
final class JobCache {
  /** The most entries of each kind; the oldest are dropped first and read again when needed. */
  private static final int CAPACITY = 20_000;

  /**
   * A job that was open when it was last read.
   *
   * @param version the version of its record, which is written once and removed when the job ends
   */
  record OpenJob(long version, List<String> dependencies) {}

  /**
   * A set of jobs with everything that they need, directly or through others.
   *
   * @param open jobs that have not ended as far as is known
   * @param unread jobs of which nothing is known
   * @param cancelled whether one of them is known to be cancelled
   */
  record Closure(Set<String> open, List<String> unread, boolean cancelled) {}

  private final Map<String, OpenJob> openJobs = new BoundedMap<>();
  private final Map<String, JobStatus> outcomes = new BoundedMap<>();

  private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
      return size() > CAPACITY;
    }
  }

  /** How a job ended, or null when that is not known. */
  JobStatus outcome(String id) {
    return outcomes.get(id);
  }

  /** Remembers how a job ended; false when it was known already. */
  boolean putOutcome(String id, JobStatus end) {
    return outcomes.put(id, end) == null;
  }

  /** A job that was open when it was last read, or null when that is not known of it. */
  OpenJob openJob(String id) {
    return openJobs.get(id);
  }

  void putOpenJob(String id, OpenJob job) {
    openJobs.put(id, job);
  }

  void dropOpenJob(String id) {
    openJobs.remove(id);
  }

  /** Whether the job is known to have been accepted. */
  boolean isAccepted(String id) {
    return outcomes.containsKey(id) || openJobs.containsKey(id);
  }

  /** Follows the dependencies of some jobs as far as they are known. */
  Closure closure(Collection<String> jobs) {
    Set<String> open = new LinkedHashSet<>();
    Set<String> unread = new LinkedHashSet<>();
    boolean cancelled = false;
    ArrayDeque<String> todo = new ArrayDeque<>(jobs);
    while (!todo.isEmpty()) {
      String job = todo.poll();
      JobStatus end = outcomes.get(job);
      OpenJob known = openJobs.get(job);
      if (end != null) {
        cancelled |= end == JobStatus.CANCELLED;
      } else if (known == null) {
        unread.add(job);
      } else if (open.add(job)) {
        todo.addAll(known.dependencies());
      }
    }
    return new Closure(open, new ArrayList<>(unread), cancelled);
  }
}
