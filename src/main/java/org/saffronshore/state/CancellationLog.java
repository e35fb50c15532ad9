package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.List;
import org.saffronshore.http.EventLoop;

/**
 * The cancellations that this process committed or read, the latest last, for as long as a
 * cancellation may take. Controllers send them to the leader, which may be unable to read them from
 * the state service itself.
 */
final class CancellationLog {
  /** The most cancellations that are kept. */
  private static final int CAPACITY = 500;

  private record Entry(String job, double learnedAt) {}

  private final EventLoop loop;
  private final double retentionS;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();

  /** No cancellation learned since then has been dropped. */
  private double completeSince;

  /**
   * Starts empty.
   *
   * @param retentionS for how many seconds a cancellation is kept
   */
  CancellationLog(EventLoop loop, double retentionS) {
    this.loop = loop;
    this.retentionS = retentionS;
    this.completeSince = loop.now();
  }

  void add(String job) {
    entries.add(new Entry(job, loop.now()));
  }

  /** The jobs whose cancellations are kept. */
  List<String> recent() {
    dropOld();
    return entries.stream().map(Entry::job).toList();
  }

  /** For how many seconds {@link #recent} is complete. */
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
