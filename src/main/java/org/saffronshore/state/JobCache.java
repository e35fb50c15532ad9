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
 * A cache of what one controller has read about jobs. It keeps only facts that never change: the
 * outcome of a job, and the record version and the dependencies of an accepted job. Whether a job
 * is still open can change, and must not be concluded from the cache.
 */
final class JobCache {
  /** A version that no key has, so that a condition on it never holds. */
  static final long NO_VERSION = -1;

  /**
   * The maximum number of entries of each kind. The oldest entries are dropped first, and read
   * again when needed.
   */
  private static final int CAPACITY = 20_000;

  /**
   * A job that was open when it was last read.
   *
   * @param version the version of the job's record, which is written once and deleted when the job
   *     ends
   */
  record OpenJob(long version, List<String> dependencies) {}

  /**
   * A set of jobs with all of their known direct and transitive dependencies.
   *
   * @param open jobs that were open when they were last read, and have no known outcome
   * @param unread jobs of which neither a record nor an outcome is known
   * @param cancelled whether any of these jobs is known to be cancelled
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

  /** Returns the outcome of a job, or null when it is not known. */
  @Nullable JobStatus outcome(String id) {
    return outcomes.get(id);
  }

  /** Stores the outcome of a job. Returns false when an outcome was already known. */
  boolean putOutcome(String id, JobStatus outcome) {
    return outcomes.put(id, outcome) == null;
  }

  /** Returns whether the job was open when it was last read. */
  boolean wasOpen(String id) {
    return openJobs.containsKey(id);
  }

  /** Returns whether the job was open when it was last read, and depends on other jobs. */
  boolean hasDependencies(String id) {
    OpenJob job = openJobs.get(id);
    return job != null && !job.dependencies().isEmpty();
  }

  /** Returns the version of an open job's record; {@link #NO_VERSION} when it is not known. */
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

  /** Returns whether the job is known to have been accepted. */
  boolean isAccepted(String id) {
    return outcomes.containsKey(id) || openJobs.containsKey(id);
  }

  /**
   * Collects the given jobs and their direct and transitive dependencies. The dependencies of a job
   * that is not in the cache are unknown and not followed.
   */
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
