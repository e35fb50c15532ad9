package org.saffronshore.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.saffronshore.wire.Priority;

/**
 * The dependencies of the open jobs and the known outcomes of the jobs that they depend on. From
 * these it derives which jobs are ready, which have to be cancelled, and their effective
 * priorities. It is independent of tasks, machines and the state service.
 */
public final class DependencyGraph {

  /** An open job, with the priority that it was submitted with. */
  private record OpenJob(Priority ownPriority, List<String> dependencies) {}

  /**
   * How and when a job that other jobs depend on has ended.
   *
   * @param done whether the job is done; false if it was cancelled
   * @param endedAtMs wall-clock time in milliseconds
   */
  private record Outcome(boolean done, long endedAtMs) {}

  private final Map<String, OpenJob> openJobs = new LinkedHashMap<>();

  /** Open jobs by each job that they directly depend on. */
  private final Map<String, Set<String>> dependents = new HashMap<>();

  /** Known outcomes of the jobs that open jobs depend on. */
  private final Map<String, Outcome> outcomes = new HashMap<>();

  /**
   * Whether effective priorities may have changed since the last {@link
   * #recomputeEffectivePriorities}.
   */
  private boolean prioritiesStale;

  /**
   * Adds an open job. Of a job without dependencies, only the priority matters, in case other jobs
   * depend on it.
   */
  public void add(String job, Priority ownPriority, List<String> dependencies) {
    openJobs.put(job, new OpenJob(ownPriority, dependencies));
    for (String dependency : dependencies) {
      dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>()).add(job);
    }
    prioritiesStale |= !dependencies.isEmpty() || dependents.containsKey(job);
  }

  /** Removes a job that is no longer open. Its outcome may not be known yet. */
  public void remove(String job) {
    OpenJob openJob = openJobs.remove(job);
    if (openJob == null) {
      return;
    }
    for (String dependency : openJob.dependencies) {
      removeDependent(dependency, job);
    }
    prioritiesStale |= !openJob.dependencies.isEmpty();
  }

  private void removeDependent(String dependency, String job) {
    Set<String> remaining = dependents.get(dependency);
    if (remaining == null) {
      return;
    }
    remaining.remove(job);
    if (remaining.isEmpty()) {
      dependents.remove(dependency);
      outcomes.remove(dependency);
    }
  }

  /**
   * Records how a job ended. The outcome is kept as long as an open job depends on it.
   *
   * @param done whether the job is done; false if it was cancelled
   * @param endedAtMs wall-clock time in milliseconds
   */
  public void jobEnded(String job, boolean done, long endedAtMs) {
    if (dependents.containsKey(job)) {
      outcomes.putIfAbsent(job, new Outcome(done, endedAtMs));
    }
  }

  /** Returns whether all dependencies of a job are known to be done. */
  public boolean isReady(String job) {
    OpenJob openJob = openJobs.get(job);
    return openJob == null || openJob.dependencies.stream().allMatch(this::isDone);
  }

  private boolean isDone(String job) {
    Outcome outcome = outcomes.get(job);
    return outcome != null && outcome.done;
  }

  /**
   * Returns the wall-clock time of the latest known end of a job's dependencies, in milliseconds; 0
   * if the end of none is known.
   */
  public long readyAtMs(String job) {
    OpenJob openJob = openJobs.get(job);
    if (openJob == null) {
      return 0;
    }
    return openJob.dependencies.stream()
        .map(outcomes::get)
        .filter(Objects::nonNull)
        .mapToLong(Outcome::endedAtMs)
        .max()
        .orElse(0);
  }

  /** Returns the open jobs that directly depend on a job. */
  public Collection<String> dependents(String job) {
    return new ArrayList<>(dependents.getOrDefault(job, Set.of()));
  }

  /** Returns the jobs that open jobs depend on, that are not open, and whose outcome is unknown. */
  public List<String> jobsWithUnknownOutcome() {
    return dependents.keySet().stream()
        .filter(job -> !openJobs.containsKey(job) && !outcomes.containsKey(job))
        .toList();
  }

  /**
   * Returns the open jobs to be cancelled, since a direct or transitive dependency was cancelled.
   */
  public List<String> jobsToCancel() {
    Set<String> cancelled = new LinkedHashSet<>();
    ArrayDeque<String> pending = new ArrayDeque<>();
    outcomes.forEach(
        (job, outcome) -> {
          if (!outcome.done) {
            pending.add(job);
          }
        });
    while (!pending.isEmpty()) {
      for (String dependent : dependents.getOrDefault(pending.remove(), Set.of())) {
        if (openJobs.containsKey(dependent) && cancelled.add(dependent)) {
          pending.add(dependent);
        }
      }
    }
    return new ArrayList<>(cancelled);
  }

  /**
   * Returns the effective priority of each open job: the highest of its own priority and those of
   * its direct and transitive dependents. The priorities are computed in one pass over the graph,
   * and only if they may have changed since the last call; otherwise the map is empty.
   */
  public Map<String, Priority> recomputeEffectivePriorities() {
    Map<String, Priority> priorities = new HashMap<>();
    if (prioritiesStale) {
      prioritiesStale = false;
      openJobs.keySet().forEach(job -> computeEffectivePriority(job, priorities));
    }
    return priorities;
  }

  /**
   * Computes the effective priorities of a job and all its dependents into {@code known}. Uses an
   * explicit stack instead of recursion, since deep dependency chains would overflow the call
   * stack: a job stays on the stack until the priorities of its dependents, which are pushed above
   * it, are known.
   */
  private void computeEffectivePriority(String start, Map<String, Priority> known) {
    ArrayDeque<String> stack = new ArrayDeque<>();
    stack.push(start);
    while (!stack.isEmpty()) {
      String job = stack.element();
      OpenJob openJob = openJobs.get(job);
      Priority highest = openJob == null ? Priority.IDLE : openJob.ownPriority;
      boolean complete = true;
      for (String dependent : dependents.getOrDefault(job, Set.of())) {
        Priority priority = known.get(dependent);
        if (priority == null) {
          stack.push(dependent);
          complete = false;
        } else if (priority.compareTo(highest) > 0) {
          highest = priority;
        }
      }
      if (complete) {
        known.put(job, highest);
        stack.pop();
      }
    }
  }

  /** Returns the number of open jobs that wait for their dependencies. */
  public long waitingJobCount() {
    return openJobs.keySet().stream().filter(job -> !isReady(job)).count();
  }
}
