package org.saffronshore.http;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A bounded priority queue of the requests that a controller handles. Workers' heartbeats have the
 * highest priority, because tasks are stopped when heartbeats are not answered; decisions (polls
 * and cancellations) come next, then submissions. Requests are handled in short slices, between
 * which other actions of the event loop run. A request whose class has a full queue is refused
 * immediately.
 */
public final class AdmissionQueue {

  /** Request classes in order of priority, highest first. */
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

  /**
   * The maximum number of requests in a slice. Each slice is an action of its own on the event
   * loop, so that newly arrived requests can be read in between. Netty reads from the network when
   * all submitted actions have run or its time limit for running them has passed.
   */
  private static final int SLICE_SIZE = 8;

  private final EventLoop loop;
  private final Map<RequestClass, BoundedQueue> queues = new EnumMap<>(RequestClass.class);
  private boolean scheduled;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of waiting requests by class; requests of a class without an
   *     entry are always refused
   */
  public AdmissionQueue(EventLoop loop, Map<RequestClass, Integer> capacity) {
    this.loop = loop;
    capacity.forEach((requestClass, size) -> queues.put(requestClass, new BoundedQueue(size)));
  }

  /**
   * Adds a request to the queue of its class.
   *
   * @param handling handles the request; called on the event loop
   * @return false if the queue of the class is full and the request was not added
   */
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
