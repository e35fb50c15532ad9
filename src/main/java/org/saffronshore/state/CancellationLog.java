package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.List;
import org.saffronshore.http.EventLoop;

/**
 * The cancellations that this process committed or read, the latest last, for as long as a
 * cancellation may take. Controllers report them to the leader, which may be unable to read them
 * from the state service itself.
 */
final class CancellationLog {
  private static final int CAPACITY = 500;

  private record Entry(String job, double learnedAt) {}

  private final EventLoop loop;
  private final double keptForS;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();

  /** No cancellation learned since then has been dropped. */
  private double completeSince;

  CancellationLog(EventLoop loop, double keptForS) {
    this.loop = loop;
    this.keptForS = keptForS;
    this.completeSince = loop.now();
  }

  void add(String job) {
    entries.add(new Entry(job, loop.now()));
  }

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
    while (!entries.isEmpty()
        && (entries.size() > CAPACITY || entries.peek().learnedAt < loop.now() - keptForS)) {
      completeSince = entries.poll().learnedAt;
    }
  }
}
