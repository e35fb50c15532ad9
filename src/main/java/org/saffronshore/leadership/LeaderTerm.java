package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this controller as leader: whether it still lasts, and what it allows at the moment.
 * The loops of the term ask here before they act; nothing here knows what they do.
 */
public final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  private final EventLoop loop;
  private final Leadership leadership;
  private final long number;

  /** A gap between two checks that is longer than this means that the process was paused. */
  private final double pauseThresholdS;

  private final Runnable onPause;
  private boolean ended;
  private boolean loaded;
  private double lastCheckedAt;

  /**
   * Starts a term.
   *
   * @param number the term's number, which is its fencing token
   * @param onPause is called when the process has been paused while its clock ran on
   */
  public LeaderTerm(
      EventLoop loop, Settings settings, Leadership leadership, long number, Runnable onPause) {
    this.loop = loop;
    this.leadership = leadership;
    this.number = number;
    this.pauseThresholdS = settings.heartbeatIntervalS() / 3;
    this.onPause = onPause;
    this.lastCheckedAt = loop.now();
  }

  public long number() {
    return number;
  }

  /** Whether this controller may act as leader at this moment. */
  public boolean isActive() {
    return !ended && leadership.isActive();
  }

  /** Whether the state service renews the leader's lease: what is decided can be persisted. */
  public boolean holdsStoreLease() {
    return !ended && leadership.holdsStoreLease();
  }

  /** Whether no other controller may act, although this one may not know enough yet to act. */
  public boolean holdsLease() {
    return !ended && leadership.holdsLease();
  }

  /** Whether the records of earlier terms have been read from the state service. */
  public boolean isLoaded() {
    return loaded;
  }

  public void markLoaded() {
    loaded = true;
  }

  public boolean hasEnded() {
    return ended;
  }

  public void end() {
    ended = true;
  }

  /**
   * Detects that this process was paused while its clock ran on: some loop of the term runs more
   * often than several times in a report interval. To be called before anything is concluded from
   * missing messages.
   */
  public void detectPause() {
    double now = loop.now();
    if (now - lastCheckedAt > pauseThresholdS) {
      LOG.info(
          "term {}: process was paused for {} s",
          number,
          Math.round(10 * (now - lastCheckedAt)) / 10.0);
      onPause.run();
    }
    lastCheckedAt = now;
  }

  /**
   * Repeats an action for as long as the term lasts, but runs it only while it is active.
   *
   * @param seconds the time between the end of one run and the start of the next
   */
  public void repeatWhileActive(double seconds, Runnable action) {
    loop.schedule(
        seconds,
        () -> {
          if (ended) {
            return;
          }
          detectPause();
          try {
            if (isActive()) {
              action.run();
            }
          } finally {
            repeatWhileActive(seconds, action);
          }
        });
  }
}
