package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The entries of one team in the order in which they are placed, and how far a cycle has come. */
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
   * @param index the queue's place among the queues of all teams, which decides between equals
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

  /** Puts evicted tasks before the team's other entries of the same priority. */
  void sortEvicted() {
    if (hasEvicted) {
      entries.sort(OVERDUE_THEN_PRIORITY);
    }
  }

  /** Whether a task that waits would still be within what the team is guaranteed. */
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
