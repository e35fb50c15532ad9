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
 * Which open jobs depend on which others, and what is known of how those ended: which are ready,
 * which are cancelled together, and which priority counts. Knows nothing of tasks, machines or the
 * state service.
 */
public final class DependencyGraph {

  /** An open job with its own priority. */
  private record OpenJob(Priority ownPriority, List<String> dependencies) {}

  /** How a job ended that others depend on, and at which time of day; done, or cancelled. */
  private record Outcome(boolean done, long atMs) {}

  private final Map<String, OpenJob> openJobs = new LinkedHashMap<>();

  /** Open jobs that depend on a job, directly. */
  private final Map<String, Set<String>> dependents = new HashMap<>();

  private final Map<String, Outcome> outcomes = new HashMap<>();

  /** Whether other priorities may count since the last {@link #recomputeEffectivePriorities}. */
  private boolean prioritiesStale;

  /**
   * Adds an open job. For one without dependencies only the priority counts, should others depend
   * on it.
   */
  public void add(String job, Priority ownPriority, List<String> dependencies) {
    openJobs.put(job, new OpenJob(ownPriority, dependencies));
    for (String dependency : dependencies) {
      dependents.computeIfAbsent(dependency, name -> new LinkedHashSet<>()).add(job);
    }
    prioritiesStale |= !dependencies.isEmpty() || dependents.containsKey(job);
  }

  /** The job is not open any more; how it ended may not be known yet. */
  public void remove(String job) {
    OpenJob entry = openJobs.remove(job);
    if (entry == null) {
      return;
    }
    for (String dependency : entry.dependencies) {
      removeDependent(dependency, job);
    }
    prioritiesStale |= !entry.dependencies.isEmpty();
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

  /** How a job ended; kept as long as an open job depends on it. */
  public void jobEnded(String job, boolean done, long atMs) {
    if (dependents.containsKey(job)) {
      outcomes.putIfAbsent(job, new Outcome(done, atMs));
    }
  }

  /** Whether all its dependencies are known to be done. */
  public boolean isReady(String job) {
    OpenJob entry = openJobs.get(job);
    return entry == null || entry.dependencies.stream().allMatch(this::isDone);
  }

  private boolean isDone(String job) {
    Outcome outcome = outcomes.get(job);
    return outcome != null && outcome.done;
  }

  /** Time of day at which its last dependency was done; 0 when it has none. */
  public long readyAtMs(String job) {
    OpenJob entry = openJobs.get(job);
    if (entry == null) {
      return 0;
    }
    return entry.dependencies.stream()
        .map(outcomes::get)
        .filter(Objects::nonNull)
        .mapToLong(Outcome::atMs)
        .max()
        .orElse(0);
  }

  /** Open jobs that depend on the job, directly. */
  public Collection<String> dependents(String job) {
    return new ArrayList<>(dependents.getOrDefault(job, Set.of()));
  }

  /** Jobs that others depend on, that are not open, and of which the outcome is not known. */
  public List<String> jobsWithUnknownOutcome() {
    return dependents.keySet().stream()
        .filter(job -> !openJobs.containsKey(job) && !outcomes.containsKey(job))
        .toList();
  }

  /** Open jobs to be cancelled, since a dependency was, directly or through others. */
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
   * The priority that counts of each open job: the highest of its own and of those that depend on
   * it, directly or through others. In one pass over the graph; empty when nothing has changed
   * since the last.
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
   * Adds the priorities of a job and of all that depend on it. Deep chains must not use up the call
   * stack, so what has to be known first is put before the job that depends on it.
   */
  private void computeEffectivePriority(String from, Map<String, Priority> known) {
    ArrayDeque<String> stack = new ArrayDeque<>();
    stack.push(from);
    while (!stack.isEmpty()) {
      String job = stack.element();
      OpenJob entry = openJobs.get(job);
      Priority highest = entry == null ? Priority.IDLE : entry.ownPriority;
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

  /** How many open jobs wait for their dependencies. */
  public long waitingJobCount() {
    return openJobs.keySet().stream().filter(job -> !isReady(job)).count();
  }
}
