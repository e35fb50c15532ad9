package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The queues of all teams that have anything to place. */
final class TeamQueues {
  private static final Comparator<PendingJob> SUBMISSION_ORDER_IN_PRIORITY =
      Comparator.comparing((PendingJob pending) -> !pending.isOverdue())
          .thenComparing(pending -> -pending.job().priority().rank())
          .thenComparing(PendingJob::submissionOrder);

  private final Map<String, Team> teams;
  private final Map<String, TeamQueue> queues = new LinkedHashMap<>();

  /** Queues the jobs of known teams by priority, then in the order of their submission. */
  TeamQueues(Collection<PendingJob> jobs, Map<String, Team> teams) {
    this.teams = teams;
    List<PendingJob> ordered = new ArrayList<>(jobs);
    ordered.sort(SUBMISSION_ORDER_IN_PRIORITY);
    for (PendingJob pending : ordered) {
      Team team = teams.get(pending.job().team());
      if (!pending.isEmpty() && team != null) {
        queueOf(team).addLast(new QueueEntry.Waiting(pending));
      }
    }
  }

  private TeamQueue queueOf(Team team) {
    return queues.computeIfAbsent(team.name(), name -> new TeamQueue(team, queues.size()));
  }

  /** The queues, in the order in which they came to have an entry. */
  Collection<TeamQueue> all() {
    return queues.values();
  }

  /** The names of teams with a waiting task that would still be within their guarantee. */
  Set<String> teamsBelowGuarantee() {
    Set<String> names = new HashSet<>();
    queues.forEach(
        (name, queue) -> {
          if (queue.hasTaskWithinGuarantee()) {
            names.add(name);
          }
        });
    return names;
  }

  /** The team of that name, or null when there is none. */
  @Nullable Team team(String name) {
    return teams.get(name);
  }

  /** Adds an evicted task, which has its place in the queue only after {@link #sortEvicted}. */
  void addEvicted(Team owner, QueueEntry.Evicted evicted) {
    queueOf(owner).addEvicted(evicted);
  }

  /** Sorts the queues that have evicted tasks. */
  void sortEvicted() {
    queues.values().forEach(TeamQueue::sortEvicted);
  }
}
