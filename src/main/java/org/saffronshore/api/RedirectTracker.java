package org.saffronshore.api;

import java.util.LinkedHashMap;
import java.util.Map;
import org.saffronshore.http.EventLoop;

/**
 * Tracks which workers were redirected to the leader. A worker that returns soon after a redirect
 * could not reach the leader. Its heartbeats are relayed from then on, so that its lease does not
 * expire because of a partial network partition.
 */
public final class RedirectTracker {
  /** The age in heartbeat intervals after which a redirect need not be kept. */
  private static final double MAX_AGE_INTERVALS = 5;

  /**
   * The time in heartbeat intervals within which a worker that could not reach the leader returns.
   * A worker waits up to 4 s for the leader's response, and then 1 s before it tries the next
   * controller.
   */
  private static final double RETURN_INTERVALS = 4;

  /**
   * The corresponding time for a worker whose last heartbeat was relayed. Such a worker sends the
   * next heartbeat after one interval.
   */
  private static final double RELAYED_RETURN_INTERVALS = 2;

  private record Redirect(String leader, double redirectedAt, boolean relayed) {}

  private final EventLoop loop;
  private final double heartbeatIntervalS;
  private final Map<String, Redirect> latestByWorker =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Redirect> eldest) {
          // Entries are ordered by time, so the oldest redirect comes first.
          return loop.now()
              > eldest.getValue().redirectedAt + MAX_AGE_INTERVALS * heartbeatIntervalS;
        }
      };

  /**
   * Creates a tracker without redirects.
   *
   * @param heartbeatIntervalS the time between two heartbeats of a worker, in seconds
   */
  public RedirectTracker(EventLoop loop, double heartbeatIntervalS) {
    this.loop = loop;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /**
   * Returns whether to relay the heartbeat of a worker to the leader, since the worker has returned
   * from a redirect to it. If not, the caller redirects the worker to the leader, which is recorded
   * here.
   */
  boolean shouldRelay(String worker, String leader) {
    Redirect latest = latestByWorker.remove(worker);
    double now = loop.now();
    boolean relay = latest != null && hasReturnedFrom(latest, leader, now);
    latestByWorker.put(worker, new Redirect(leader, now, relay));
    return relay;
  }

  /**
   * Returns whether the worker has returned from the leader in time. A worker whose heartbeats are
   * relayed is redirected again from time to time, since it may be able to reach the leader by
   * then.
   */
  private boolean hasReturnedFrom(Redirect latest, String leader, double now) {
    double withinIntervals = latest.relayed ? RELAYED_RETURN_INTERVALS : RETURN_INTERVALS;
    return latest.leader.equals(leader)
        && now - latest.redirectedAt < withinIntervals * heartbeatIntervalS;
  }

  /**
   * Records that a heartbeat of the worker was relayed to the leader. The next one is relayed, too,
   * if it arrives in time.
   */
  void recordRelayed(String worker, String leader) {
    latestByWorker.remove(worker);
    latestByWorker.put(worker, new Redirect(leader, loop.now(), true));
  }
}
