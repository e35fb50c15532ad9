package org.saffronshore;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.saffronshore.http.EventLoop;

/** A loop whose clock the test moves. */
public final class ManualEventLoop implements EventLoop {

  private static final class Entry {
    final double dueAt;
    final long order;
    final Runnable action;
    boolean cancelled;

    Entry(double at, long order, Runnable action) {
      this.dueAt = at;
      this.order = order;
      this.action = action;
    }
  }

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingDouble((Entry e) -> e.dueAt).thenComparingLong(e -> e.order));
  private double now = 1000;
  private long nextOrder;

  @Override
  public double now() {
    return now;
  }

  @Override
  public long wallClockMs() {
    return Math.round(now * 1000);
  }

  @Override
  public Timer schedule(double seconds, Runnable action) {
    Entry entry = new Entry(now + Math.max(0, seconds), nextOrder++, action);
    entries.add(entry);
    return () -> entry.cancelled = true;
  }

  /** The process stands still while its clock runs on: what becomes due meanwhile runs late. */
  public void pauseProcess(double seconds) {
    now += seconds;
  }

  /** Moves the clock, running what becomes due on the way. */
  public void advance(double seconds) {
    double until = now + seconds;
    while (!entries.isEmpty() && entries.peek().dueAt <= until) {
      Entry entry = entries.poll();
      now = Math.max(now, entry.dueAt);
      if (!entry.cancelled) {
        entry.action.run();
      }
    }
    now = Math.max(now, until);
  }
}
