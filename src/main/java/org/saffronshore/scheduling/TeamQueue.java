package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The entries of one team in the order in which they are placed, and the position that the cycle
 * has reached.
 */
final class TeamQueue {
  private static final Comparator<QueueEntry> OVERDUE_THEN_PRIORITY =
      Comparator.comparing((QueueEntry entry) -> !entry.isOverdue())
          .thenComparingInt(entry -> -entry.job().priority().rank());

  private final Team team;
  private final int index;
  private final List<QueueEntry> entries = new ArrayList<>();
  private boolean hasEvicted;
  private int headIndex;

  /**
   * @param index the index of the queue among the queues of all teams; breaks ties between teams
   */
  TeamQueue(Team team, int index) {
    this.team = team;
    this.index = index;
  }

  Team team() {
    return team;
  }

  int index() {
    return index;
  }

  void addLast(QueueEntry entry) {
    entries.add(entry);
  }

  void addEvicted(QueueEntry.Evicted evicted) {
    entries.add(0, evicted);
    hasEvicted = true;
  }

  /**
   * Moves evicted tasks, which were added at the front, before the team's other entries of the same
   * priority.
   */
  void sortEvicted() {
    if (hasEvicted) {
      entries.sort(OVERDUE_THEN_PRIORITY);
    }
  }

  /** Returns whether any entry has a task that would be within the team's guarantee. */
  boolean hasTaskWithinGuarantee() {
    for (QueueEntry entry : entries) {
      if (team.isWithinGuaranteeWith(entry.job())) {
        return true;
      }
    }
    return false;
  }

  boolean isEmpty() {
    return headIndex == entries.size();
  }

  QueueEntry head() {
    return entries.get(headIndex);
  }

  void removeHead() {
    headIndex++;
  }
}
