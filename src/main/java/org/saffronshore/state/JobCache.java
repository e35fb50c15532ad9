package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What one controller has read of jobs. Only facts that never change are kept: a job's outcome, and
 * the version of an accepted job's record and the jobs it depends on. Whether a job is still open
 * changes, and is never taken from here.
 */
final class JobCache {
  /** A version that no key has: a condition on it never holds. */
  static final long NO_VERSION = -1;

  /** The most entries of each kind; the oldest are dropped first and read again when needed. */
  private static final int CAPACITY = 20_000;

  /**
   * A job that was open when it was last read.
   *
   * @param version the version of its record, which is written once and removed when the job ends
   */
  record OpenJob(long version, List<String> dependencies) {}

  /**
   * A set of jobs with everything that they depend on, directly or through others.
   *
   * @param open jobs that have no known outcome
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
  @Nullable JobStatus outcome(String id) {
    return outcomes.get(id);
  }

  /** Keeps how a job ended; false when that was known already. */
  boolean putOutcome(String id, JobStatus outcome) {
    return outcomes.put(id, outcome) == null;
  }

  /** Whether the job was open when it was last read. */
  boolean wasOpen(String id) {
    return openJobs.containsKey(id);
  }

  /** Whether the job was open when it was last read, and depends on others. */
  boolean hasDependencies(String id) {
    OpenJob job = openJobs.get(id);
    return job != null && !job.dependencies().isEmpty();
  }

  /** The version of an open job's record; {@link #NO_VERSION} when it is not known. */
  long version(String id) {
    OpenJob job = openJobs.get(id);
    return job == null ? NO_VERSION : job.version();
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
    ArrayDeque<String> remaining = new ArrayDeque<>(jobs);
    while (!remaining.isEmpty()) {
      String id = remaining.poll();
      JobStatus outcome = outcomes.get(id);
      OpenJob job = openJobs.get(id);
      if (outcome != null) {
        cancelled |= outcome == JobStatus.CANCELLED;
      } else if (job == null) {
        unread.add(id);
      } else if (open.add(id)) {
        remaining.addAll(job.dependencies());
      }
    }
    return new Closure(open, new ArrayList<>(unread), cancelled);
  }
}
