package org.saffronshore.api;

import java.util.LinkedHashMap;
import java.util.Map;
import org.saffronshore.http.EventLoop;

/**
 * Remembers which workers were redirected to the leader. One that is back soon after could not
 * reach it: its heartbeats are relayed from then on, so that its lease does not expire because of a
 * network that is cut in one place only.
 */
public final class RedirectTracker {
  /** A worker that was redirected longer ago than this is not coming back because of it. */
  private static final double MAX_AGE_INTERVALS = 5;

  /**
   * A worker waits for up to 4 s for the leader's response, and a second before it tries the next
   * controller.
   */
  private static final double RETURN_INTERVALS = 4;

  /** A worker whose heartbeats are relayed sends the next one after one interval. */
  private static final double RELAYED_RETURN_INTERVALS = 2;

  private record Redirect(String leader, double redirectedAt, boolean relayed) {}

  private final EventLoop loop;
  private final double heartbeatIntervalS;
  private final Map<String, Redirect> latestByWorker =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Redirect> eldest) {
          // Entries are in the order of their times: what is too old to matter is at the front.
          return loop.now()
              > eldest.getValue().redirectedAt + MAX_AGE_INTERVALS * heartbeatIntervalS;
        }
      };

  /**
   * @param heartbeatIntervalS how often a worker sends a heartbeat
   */
  public RedirectTracker(EventLoop loop, double heartbeatIntervalS) {
    this.loop = loop;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /** Whether the worker came back from that leader; if not, it counts as redirected there now. */
  boolean shouldRelay(String worker, String leader) {
    Redirect latest = latestByWorker.remove(worker);
    double now = loop.now();
    boolean relay = latest != null && hasReturnedFrom(latest, leader, now);
    latestByWorker.put(worker, new Redirect(leader, now, relay));
    return relay;
  }

  /**
   * Whether the worker is back from the leader. Where its heartbeats are relayed it is redirected
   * again now and then, since the leader may be within its reach by now.
   */
  private boolean hasReturnedFrom(Redirect latest, String leader, double now) {
    double withinIntervals = latest.relayed ? RELAYED_RETURN_INTERVALS : RETURN_INTERVALS;
    return latest.leader.equals(leader)
        && now - latest.redirectedAt < withinIntervals * heartbeatIntervalS;
  }

  /** Its heartbeat was relayed: the next one is, too, if it arrives in time. */
  void recordRelayed(String worker, String leader) {
    latestByWorker.remove(worker);
    latestByWorker.put(worker, new Redirect(leader, loop.now(), true));
  }
}
