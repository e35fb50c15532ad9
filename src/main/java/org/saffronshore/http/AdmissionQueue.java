package org.saffronshore.http;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Orders what a node is asked to do. Under overload the reports of workers go first, since tasks
 * die without them, then decisions, then submissions and questions of users. Work is done in short
 * slices, between which newly arrived requests are read. A full rank refuses at once.
 */
public final class AdmissionQueue {

  /** Ranks of work, the most urgent first. */
  public enum RequestClass {
    REPORT,
    DECISION,
    SUBMISSION
  }

  private static final int SLICE = 8;

  private final EventLoop loop;
  private final Map<RequestClass, Integer> capacity;
  private final Map<RequestClass, ArrayDeque<Runnable>> waiting = new EnumMap<>(RequestClass.class);
  private boolean scheduled;

  /**
   * @param capacity how many requests of each rank may wait
   */
  public AdmissionQueue(EventLoop loop, Map<RequestClass, Integer> capacity) {
    this.loop = loop;
    this.capacity = capacity;
    for (RequestClass rank : RequestClass.values()) {
      waiting.put(rank, new ArrayDeque<>());
    }
  }

  /** Takes work on, or returns false when there is no room for more of its rank. */
  public boolean offer(RequestClass rank, Runnable work) {
    ArrayDeque<Runnable> queue = waiting.get(rank);
    if (queue.size() >= capacity.get(rank)) {
      return false;
    }
    queue.addLast(work);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::runSlice);
    }
    return true;
  }

  private Runnable next() {
    for (ArrayDeque<Runnable> queue : waiting.values()) {
      Runnable work = queue.pollFirst();
      if (work != null) {
        return work;
      }
    }
    return null;
  }

  private void runSlice() {
    scheduled = false;
    try {
      for (int i = 0; i < SLICE; i++) {
        Runnable work = next();
        if (work == null) {
          return;
        }
        work.run();
      }
    } finally {
      if (!scheduled && waiting.values().stream().anyMatch(q -> !q.isEmpty())) {
        scheduled = true;
        loop.execute(this::runSlice);
      }
    }
  }
}
