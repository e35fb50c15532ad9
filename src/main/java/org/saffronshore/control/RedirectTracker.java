package org.saffronshore.control;

import java.util.LinkedHashMap;
import java.util.Map;
import org.saffronshore.http.EventLoop;

/**
 * Remembers which workers were sent to the leader. One that is back soon after could not reach it:
 * its reports are relayed from then on, so that its lease does not run out because of a network
 * that is cut in one place only.
 */
final class RedirectTracker {
  /** Whoever was sent away so many report intervals ago is not coming back from there. */
  private static final double KEPT_REPORTS = 5;

  private record Sent(String to, double at, boolean relays) {}

  private final EventLoop loop;
  private final double reportS;
  private final Map<String, Sent> workers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sent> eldest) {
          // Each was put in when it was sent: what is too old to matter is at the front.
          return loop.now() > eldest.getValue().at + KEPT_REPORTS * reportS;
        }
      };

  RedirectTracker(EventLoop loop, double reportS) {
    this.loop = loop;
    this.reportS = reportS;
  }

  /** Whether the worker came back from that leader; if not, it counts as sent there now. */
  boolean shouldRelay(String worker, String leader) {
    Sent sent = workers.remove(worker);
    double now = loop.now();
    // A worker waits up to 4 s for the leader's answer, and a second before it tries the next node.
    boolean back =
        sent != null && sent.to.equals(leader) && now - sent.at < (sent.relays ? 2 : 4) * reportS;
    // Now and then it is sent there again, since the way may be open by now.
    boolean relays = back && (!sent.relays || now - sent.at < 2 * reportS);
    workers.put(worker, new Sent(leader, now, relays));
    return relays;
  }

  /** Its report was relayed: the next one is, too, if it comes in time. */
  void recordRelayed(String worker, String leader) {
    workers.remove(worker);
    workers.put(worker, new Sent(leader, loop.now(), true));
  }
}
