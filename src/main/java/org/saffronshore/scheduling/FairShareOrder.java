package org.saffronshore.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.saffronshore.wire.JobSpec;

/**
 * Decides which team places its next task. By the design that is the team with the smallest
 * fraction of its fair share, counting that task. Exceptions to the design:
 *
 * <ul>
 *   <li>A task that may preempt others goes before them: first one within its team's guarantee,
 *       then one of higher priority. Were the others placed first, they would be preempted in the
 *       next cycle, again and again.
 *   <li>A task of an overdue job goes before all others, so that no job waits for ever.
 * </ul>
 */
final class FairShareOrder {

  /** What the head of a queue is compared by, as of the moment when the queue was added. */
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

  /** Removes the queue whose turn it is. */
  TeamQueue removeFirst() {
    return heads.remove().queue;
  }

  /** Adds a queue that is not empty, by what its team uses now. */
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
