package org.saffronshore.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.wire.Priority;

/**
 * Which open jobs need which others, and what is known of how those ended: who is ready, who is
 * cancelled with whom, and which priority counts. Knows nothing of tasks, machines or the state
 * service.
 */
public final class DependencyGraph {

  private static final class Entry {
    final Priority own;
    final List<String> needs;

    Entry(Priority own, List<String> needs) {
      this.own = own;
      this.needs = needs;
    }
  }

  /** How a job ended that others need, and when; done, or cancelled. */
  private record End(boolean done, long atMs) {}

  /** Open jobs that need others or are needed. */
  private final Map<String, Entry> open = new LinkedHashMap<>();

  /** Open jobs that need the job. */
  private final Map<String, Set<String>> needers = new HashMap<>();

  private final Map<String, End> ends = new HashMap<>();

  /** Whether other priorities may count since they were last asked for. */
  private boolean stale;

  /** An open job; for one that needs no other only the priority counts, should others need it. */
  public void add(String job, Priority own, List<String> needs) {
    open.put(job, new Entry(own, needs));
    for (String needed : needs) {
      needers.computeIfAbsent(needed, n -> new LinkedHashSet<>()).add(job);
    }
    stale |= !needs.isEmpty() || needers.containsKey(job);
  }

  /** The job is not open any more; how it ended may have to be asked. */
  public void remove(String job) {
    Entry entry = open.remove(job);
    if (entry == null) {
      return;
    }
    for (String needed : entry.needs) {
      Set<String> left = needers.get(needed);
      left.remove(job);
      if (left.isEmpty()) {
        needers.remove(needed);
        ends.remove(needed);
      }
    }
    stale |= !entry.needs.isEmpty();
  }

  /** How a job ended; kept as long as an open job needs it. */
  public void jobEnded(String job, boolean done, long atMs) {
    if (needers.containsKey(job)) {
      ends.putIfAbsent(job, new End(done, atMs));
    }
  }

  /** Whether all jobs that it needs are known to be done. */
  public boolean isReady(String job) {
    Entry entry = open.get(job);
    return entry == null
        || entry.needs.stream()
            .allMatch(needed -> ends.containsKey(needed) && ends.get(needed).done);
  }

  /** When the last job that it needs was done, at a time of day; 0 when it needs none. */
  public long readyAtMs(String job) {
    Entry entry = open.get(job);
    return entry == null
        ? 0
        : entry.needs.stream()
            .filter(ends::containsKey)
            .mapToLong(n -> ends.get(n).atMs)
            .max()
            .orElse(0);
  }

  /** Open jobs that need the job, directly. */
  public Collection<String> dependents(String job) {
    return new ArrayList<>(needers.getOrDefault(job, Set.of()));
  }

  /** Jobs that are needed, are not open, and of which it is not known how they ended. */
  public List<String> unresolved() {
    return needers.keySet().stream()
        .filter(job -> !open.containsKey(job) && !ends.containsKey(job))
        .toList();
  }

  /** Open jobs that are cancelled, since a job that they need is, directly or through others. */
  public List<String> cancelledJobs() {
    Set<String> all = new LinkedHashSet<>();
    ArrayDeque<String> todo = new ArrayDeque<>();
    ends.forEach(
        (job, end) -> {
          if (!end.done) {
            todo.add(job);
          }
        });
    while (!todo.isEmpty()) {
      for (String needer : needers.getOrDefault(todo.poll(), Set.of())) {
        if (open.containsKey(needer) && all.add(needer)) {
          todo.add(needer);
        }
      }
    }
    return new ArrayList<>(all);
  }

  /**
   * The priority that counts of each open job: the highest of its own and of those that need it,
   * directly or through others. In one pass over the graph; empty when nothing has changed since
   * the last.
   */
  public Map<String, Priority> updatedPriorities() {
    Map<String, Priority> all = new HashMap<>();
    if (stale) {
      stale = false;
      open.keySet().forEach(job -> highest(job, all));
    }
    return all;
  }

  /**
   * Deep chains must not use up the stack, so what has to be known first is put before the job that
   * waits for it.
   */
  private void highest(String from, Map<String, Priority> known) {
    ArrayDeque<String> stack = new ArrayDeque<>();
    stack.push(from);
    while (!stack.isEmpty()) {
      String job = stack.peek();
      Priority highest = open.containsKey(job) ? open.get(job).own : Priority.IDLE;
      boolean complete = true;
      for (String needer : needers.getOrDefault(job, Set.of())) {
        Priority its = known.get(needer);
        if (its == null) {
          stack.push(needer);
          complete = false;
        } else if (its.compareTo(highest) > 0) {
          highest = its;
        }
      }
      if (complete) {
        known.put(job, highest);
        stack.pop();
      }
    }
  }

  /** How many open jobs wait for others. */
  public long waitingCount() {
    return open.keySet().stream().filter(job -> !isReady(job)).count();
  }
}
