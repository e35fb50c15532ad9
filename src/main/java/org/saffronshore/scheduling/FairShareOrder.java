package org.saffronshore.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.saffronshore.wire.JobSpec;

/**
 * Determines which team places its next task. In the design this is the team with the smallest
 * fraction of its fair share, including that task. Exceptions to the design:
 *
 * <ul>
 *   <li>A task that may preempt other tasks is placed before them: tasks within their team's
 *       guarantee first, then tasks of higher priority. If the other tasks were placed first, they
 *       would be preempted in the next cycle, over and over.
 *   <li>The next task of an overdue job is placed before all others, so that no job waits forever.
 * </ul>
 */
final class FairShareOrder {

  /** The sort key of the head of a queue, computed when the queue was added. */
  private record Head(
      TeamQueue queue, boolean overdue, boolean guaranteed, int priority, double fraction) {
    static final Comparator<Head> ORDER =
        Comparator.comparing((Head head) -> !head.overdue)
            .thenComparing(head -> !head.guaranteed)
            .thenComparingInt(head -> -head.priority)
            .thenComparingDouble(Head::fraction)
            .thenComparingInt(head -> head.queue.index());
  }

  private final SchedulingSettings settings;
  private final PriorityQueue<Head> heads = new PriorityQueue<>(Head.ORDER);

  FairShareOrder(Collection<TeamQueue> queues, SchedulingSettings settings) {
    this.settings = settings;
    queues.forEach(this::add);
  }

  boolean isEmpty() {
    return heads.isEmpty();
  }

  /** Removes and returns the queue that places its next task. */
  TeamQueue removeFirst() {
    return heads.remove().queue;
  }

  /** Adds a non-empty queue with a sort key based on the current usage of its team. */
  void add(TeamQueue queue) {
    QueueEntry entry = queue.head();
    JobSpec job = entry.job();
    Team team = queue.team();
    heads.add(
        new Head(
            queue,
            entry.isOverdue(),
            team.isWithinGuaranteeWith(job),
            job.priority().rank(),
            team.fractionOfShareWith(settings.cost(job))));
  }
}
