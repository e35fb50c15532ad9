package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of this controller as leader: whether it still lasts, what it allows at the moment, and
 * how it is ended. The loops of the term ask here before they act; nothing here knows what they do.
 */
public final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  private final EventLoop loop;
  private final Leadership leadership;
  private final long number;

  /** A gap between two checks that is longer than this means that the process was paused. */
  private final double pauseThresholdS;

  private final Runnable onPauseDetected;
  private boolean ended;
  private boolean recordsLoaded;
  private double lastPauseCheckAt;

  /**
   * Starts a term.
   *
   * @param number the term's number, which is its fencing token
   * @param onPauseDetected is called when the process has been paused while its clock ran on
   */
  public LeaderTerm(
      EventLoop loop, Settings settings, Leadership leadership, long number, Runnable onPause) {
    this.loop = loop;
    this.leadership = leadership;
    this.number = number;
    this.pauseThresholdS = settings.heartbeatIntervalS() / 3;
    this.onPauseDetected = onPause;
    this.lastPauseCheckAt = loop.now();
  }

  public long number() {
    return number;
  }

  /** The version of the leader's key as this term wrote it. */
  public long leaderKeyVersion() {
    return leadership.leaderKeyVersion();
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
  public boolean hasLoadedRecords() {
    return recordsLoaded;
  }

  public void markRecordsLoaded() {
    recordsLoaded = true;
  }

  public boolean hasEnded() {
    return ended;
  }

  /** This controller leads no more; called by the owner of the term. */
  public void markEnded() {
    ended = true;
  }

  /** Lets this controller renew leases and launch tasks until a moment, and not any longer. */
  public void allowRenewalsUntil(double until) {
    leadership.allowRenewalsUntil(until);
  }

  /** Steps down: the leadership is provably gone, or another controller would serve better. */
  public void stepDown(String reason) {
    leadership.stepDown(reason);
  }

  /** Steps down, and lets the others campaign for a while before this controller does. */
  public void yieldLeadership(String reason) {
    leadership.yieldLeadership(reason);
  }

  /**
   * Steps down if a worker has seen a larger fencing token than this term's: there is a newer
   * leader.
   *
   * @return whether that is so
   */
  public boolean stepDownIfSuperseded(String machine, long fencingToken) {
    if (fencingToken <= number) {
      return false;
    }
    stepDown("worker " + machine + " has seen fencing token " + fencingToken);
    return true;
  }

  /**
   * Detects that this process was paused while its clock ran on: some loop of the term runs more
   * often than several times in a heartbeat interval. To be called before anything is concluded
   * from missing messages.
   */
  public void detectPause() {
    double now = loop.now();
    if (now - lastPauseCheckAt > pauseThresholdS) {
      LOG.info(
          "Process was paused: term={} duration_s={}",
          number,
          Math.round(10 * (now - lastPauseCheckAt)) / 10.0);
      onPauseDetected.run();
    }
    lastPauseCheckAt = now;
  }

  /**
   * Repeats an action for as long as the term lasts, but runs it only while it is active.
   *
   * @param periodS the time between the end of one run and the start of the next, in seconds
   */
  public void repeatWhileActive(double periodS, Runnable action) {
    loop.schedule(
        periodS,
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
            repeatWhileActive(periodS, action);
          }
        });
  }
}
