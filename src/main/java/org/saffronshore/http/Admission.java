package org.saffronshore.http;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Orders what a node is asked to do. Under overload the reports of workers go first, since tasks
 * die without them, then decisions, then submissions and questions of users. Work is done in short
 * slices, between which newly arrived requests are read. A full rank refuses at once.
 */
public final class Admission {

  /** Ranks of work, the most urgent first. */
  public enum Rank {
    REPORT,
    DECISION,
    SUBMISSION
  }

  private static final int SLICE = 8;

  private final Loop loop;
  private final Map<Rank, Integer> most;
  private final Map<Rank, ArrayDeque<Runnable>> waiting = new EnumMap<>(Rank.class);
  private boolean scheduled;

  /**
   * @param most how many requests of each rank may wait
   */
  public Admission(Loop loop, Map<Rank, Integer> most) {
    this.loop = loop;
    this.most = most;
    for (Rank rank : Rank.values()) {
      waiting.put(rank, new ArrayDeque<>());
    }
  }

  /** Takes work on, or returns false when there is no room for more of its rank. */
  public boolean offer(Rank rank, Runnable work) {
    ArrayDeque<Runnable> queue = waiting.get(rank);
    if (queue.size() >= most.get(rank)) {
      return false;
    }
    queue.addLast(work);
    if (!scheduled) {
      scheduled = true;
      loop.soon(this::slice);
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

  private void slice() {
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
        loop.soon(this::slice);
      }
    }
  }
}
