package org.saffronshore;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.saffronshore.http.EventLoop;

/** A loop whose clock the test moves. */
public final class ManualEventLoop implements EventLoop {

  private static final class Entry {
    final double at;
    final long order;
    final Runnable action;
    boolean cancelled;

    Entry(double at, long order, Runnable action) {
      this.at = at;
      this.order = order;
      this.action = action;
    }
  }

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingDouble((Entry e) -> e.at).thenComparingLong(e -> e.order));
  private double now = 1000;
  private long order;

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
    Entry entry = new Entry(now + Math.max(0, seconds), order++, action);
    entries.add(entry);
    return () -> entry.cancelled = true;
  }

  /** The process stands still while its clock runs on: what becomes due meanwhile runs late. */
  public void standStill(double seconds) {
    now += seconds;
  }

  /** Moves the clock, running what becomes due on the way. */
  public void pass(double seconds) {
    double until = now + seconds;
    while (!entries.isEmpty() && entries.peek().at <= until) {
      Entry entry = entries.poll();
      now = Math.max(now, entry.at);
      if (!entry.cancelled) {
        entry.action.run();
      }
    }
    now = Math.max(now, until);
  }
}
