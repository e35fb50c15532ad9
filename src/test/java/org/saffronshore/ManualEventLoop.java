package org.saffronshore;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.saffronshore.http.EventLoop;

/** An event loop whose clock is advanced by the test. */
public final class ManualEventLoop implements EventLoop {

  private static final class Entry {
    final double dueAt;
    final long order;
    final Runnable action;
    boolean cancelled;

    Entry(double dueAt, long order, Runnable action) {
      this.dueAt = dueAt;
      this.order = order;
      this.action = action;
    }
  }

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingDouble((Entry entry) -> entry.dueAt)
              .thenComparingLong(entry -> entry.order));
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

  /**
   * Advances the clock without running any timer, like a paused process: timers that become due in
   * the meantime run late.
   */
  public void pauseProcess(double seconds) {
    now += seconds;
  }

  /** Advances the clock, running each timer at the time at which it becomes due. */
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
