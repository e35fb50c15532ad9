package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.List;
import org.saffronshore.http.EventLoop;

/**
 * The cancellations that this process committed or read, in the order in which it learned of them.
 * They are kept for the time that a cancellation may take. Controllers send them to the leader,
 * which may be unable to read them from the state service itself.
 */
final class CancellationLog {
  /** The maximum number of cancellations that are kept. */
  private static final int CAPACITY = 500;

  private record Entry(String job, double learnedAt) {}

  private final EventLoop loop;
  private final double retentionS;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();

  /** All cancellations learned after this time, in seconds on the loop's clock, are kept. */
  private double completeSince;

  /**
   * Creates an empty log.
   *
   * @param retentionS the number of seconds for which a cancellation is kept
   */
  CancellationLog(EventLoop loop, double retentionS) {
    this.loop = loop;
    this.retentionS = retentionS;
    this.completeSince = loop.now();
  }

  void add(String job) {
    entries.add(new Entry(job, loop.now()));
  }

  /** Returns the jobs whose cancellations are kept. */
  List<String> recent() {
    dropOld();
    return entries.stream().map(Entry::job).toList();
  }

  /** Returns the number of past seconds for which {@link #recent} is complete. */
  double completeForS() {
    dropOld();
    return loop.now() - completeSince;
  }

  private void dropOld() {
    double keptSince = loop.now() - retentionS;
    Entry oldest = entries.peek();
    while (oldest != null && (entries.size() > CAPACITY || oldest.learnedAt < keptSince)) {
      completeSince = oldest.learnedAt;
      entries.remove();
      oldest = entries.peek();
    }
  }
}
