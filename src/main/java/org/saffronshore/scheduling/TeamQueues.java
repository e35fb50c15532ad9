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

/** The queues of all teams that have tasks to place. */
final class TeamQueues {
  private static final Comparator<PendingJob> SUBMISSION_ORDER_IN_PRIORITY =
      Comparator.comparing((PendingJob pending) -> !pending.isOverdue())
          .thenComparing(pending -> -pending.job().priority().rank())
          .thenComparing(PendingJob::submissionOrder);

  private final Map<String, Team> teams;
  private final Map<String, TeamQueue> queues = new LinkedHashMap<>();

  /**
   * Creates queues with the jobs of known teams: overdue jobs first, then by priority, then in the
   * order of submission.
   */
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

  /** Returns the queues in the order in which they were created. */
  Collection<TeamQueue> all() {
    return queues.values();
  }

  /** Returns the names of the teams with a waiting task that would be within their guarantee. */
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

  /** Returns the team with this name, or null if there is none. */
  @Nullable Team team(String name) {
    return teams.get(name);
  }

  /**
   * Adds an evicted task to the queue of its team. The queue is in order again only after {@link
   * #sortEvicted}.
   */
  void addEvicted(Team owner, QueueEntry.Evicted evicted) {
    queueOf(owner).addEvicted(evicted);
  }

  /** Sorts the queues to which evicted tasks were added. */
  void sortEvicted() {
    queues.values().forEach(TeamQueue::sortEvicted);
  }
}
