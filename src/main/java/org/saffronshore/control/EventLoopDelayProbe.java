package org.saffronshore.control;

import org.saffronshore.admin.Metrics;
import org.saffronshore.http.EventLoop;

/**
 * Measures how late the event loop runs scheduled tasks. A long delay shows that it is overloaded.
 */
final class EventLoopDelayProbe {
  private final EventLoop loop;
  private final Metrics metrics;
  private final double intervalS;

  EventLoopDelayProbe(EventLoop loop, Metrics metrics, double intervalS) {
    this.loop = loop;
    this.metrics = metrics;
    this.intervalS = intervalS;
  }

  /** Starts measuring, once per interval. */
  void start() {
    double dueAt = loop.now() + intervalS;
    loop.schedule(
        intervalS,
        () -> {
          metrics.recordLatency(Metrics.Latency.EVENT_LOOP_DELAY, loop.now() - dueAt);
          start();
        });
  }
}
