package org.saffronshore.http;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Orders the requests that a controller handles. Under overload workers' heartbeats go first, since
 * tasks end without them, then decisions (polls and cancellations), then submissions. Requests are
 * handled in short slices, between which newly arrived ones are read. A class whose queue is full
 * refuses at once.
 */
public final class AdmissionQueue {

  /** Classes of requests, the most urgent first. */
  public enum RequestClass {
    HEARTBEAT,
    DECISION,
    SUBMISSION
  }

  private static final class BoundedQueue {
    private final int capacity;
    private final ArrayDeque<Runnable> requests = new ArrayDeque<>();

    BoundedQueue(int capacity) {
      this.capacity = capacity;
    }
  }

  private static final int SLICE_SIZE = 8;

  private final EventLoop loop;
  private final Map<RequestClass, BoundedQueue> queues = new EnumMap<>(RequestClass.class);
  private boolean scheduled;

  /**
   * A queue without requests.
   *
   * @param capacity how many requests of each class may wait; a class without one is refused
   */
  public AdmissionQueue(EventLoop loop, Map<RequestClass, Integer> capacity) {
    this.loop = loop;
    capacity.forEach((requestClass, size) -> queues.put(requestClass, new BoundedQueue(size)));
  }

  /** Queues a request; false when there is no room for more of its class. */
  public boolean offer(RequestClass requestClass, Runnable handling) {
    BoundedQueue queue = queues.get(requestClass);
    if (queue == null || queue.requests.size() >= queue.capacity) {
      return false;
    }
    queue.requests.addLast(handling);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::runSlice);
    }
    return true;
  }

  private @Nullable Runnable pollNext() {
    for (BoundedQueue queue : queues.values()) {
      Runnable handling = queue.requests.pollFirst();
      if (handling != null) {
        return handling;
      }
    }
    return null;
  }

  private void runSlice() {
    scheduled = false;
    try {
      for (int i = 0; i < SLICE_SIZE; i++) {
        Runnable handling = pollNext();
        if (handling == null) {
          return;
        }
        handling.run();
      }
    } finally {
      if (!scheduled && queues.values().stream().anyMatch(queue -> !queue.requests.isEmpty())) {
        scheduled = true;
        loop.execute(this::runSlice);
      }
    }
  }
}
