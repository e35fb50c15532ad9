package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A term that this controller leads: whether it has ended, what the controller may do at the
 * moment, and how to step down. The periodic tasks of the term check it before they act; this class
 * does not depend on what they do.
 */
public final class LeaderTerm {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderTerm.class);

  private final EventLoop loop;
  private final Leadership leadership;
  private final FencingTokens tokens;

  /** A longer gap than this between two checks means that the process was paused. */
  private final double pauseThresholdS;

  private final Runnable onPauseDetected;
  private boolean ended;
  private boolean recordsLoaded;
  private double lastPauseCheckAt;

  /**
   * Starts a term.
   *
   * @param tokens the term's fencing tokens; the first is the number of the term
   * @param onPauseDetected called when the process was paused while its clock continued
   */
  public LeaderTerm(
      EventLoop loop,
      Settings settings,
      Leadership leadership,
      FencingTokens tokens,
      Runnable onPauseDetected) {
    this.loop = loop;
    this.leadership = leadership;
    this.tokens = tokens;
    this.pauseThresholdS = settings.heartbeatIntervalS() / 3;
    this.onPauseDetected = onPauseDetected;
    this.lastPauseCheckAt = loop.now();
  }

  public long number() {
    return tokens.first();
  }

  public FencingTokens fencingTokens() {
    return tokens;
  }

  /** Returns the identifier that distinguishes this process from earlier ones of its controller. */
  public String incarnation() {
    return leadership.incarnation();
  }

  /** Returns the version of the leader key that was written when this term began. */
  public long leaderKeyVersion() {
    return leadership.leaderKeyVersion();
  }

  /** Returns whether this controller may act as leader at this moment. */
  public boolean isActive() {
    return !ended && leadership.isActive();
  }

  /**
   * Returns whether the leader's lease in the state service is valid, so that decisions can be
   * persisted.
   */
  public boolean holdsStoreLease() {
    return !ended && leadership.holdsStoreLease();
  }

  /**
   * Returns whether this controller holds a lease, so that no other controller may act. It may
   * itself not act while it lacks recent information on cancellations.
   */
  public boolean holdsLease() {
    return !ended && leadership.holdsLease();
  }

  /** Returns whether the records of earlier terms have been read from the state service. */
  public boolean hasLoadedRecords() {
    return recordsLoaded;
  }

  public void markRecordsLoaded() {
    recordsLoaded = true;
  }

  public boolean hasEnded() {
    return ended;
  }

  /** Marks the term as ended. Called by the owner of the term when this controller steps down. */
  public void markEnded() {
    ended = true;
  }

  /** Allows this controller to renew worker leases and launch tasks until the deadline. */
  public void allowRenewalsUntil(double deadline) {
    leadership.allowRenewalsUntil(deadline);
  }

  /** Steps down, since the leadership is provably lost or another controller can lead better. */
  public void stepDown(String reason) {
    leadership.stepDown(reason);
  }

  /** Steps down, and gives the other controllers time to campaign before this one does. */
  public void yieldLeadership(String reason) {
    leadership.yieldLeadership(reason);
  }

  /**
   * Steps down if a worker has seen a larger fencing token than those reserved for this term, which
   * proves that there is a newer leader.
   *
   * @return whether the worker has seen such a token
   */
  public boolean stepDownIfSuperseded(String machine, long fencingToken) {
    if (tokens.isReserved(fencingToken)) {
      return false;
    }
    stepDown(
        "worker "
            + machine
            + " has seen fencing token "
            + fencingToken
            + ", larger than "
            + tokens.lastReserved());
    return true;
  }

  /**
   * Detects whether this process was paused while its clock continued. At least one periodic task
   * of the term calls this method several times per heartbeat interval, so a long gap between two
   * calls means that the process was paused. To be called before missing messages are taken as a
   * sign of failure.
   */
  public void detectPause() {
    double now = loop.now();
    if (now - lastPauseCheckAt > pauseThresholdS) {
      LOG.info(
          "Process was paused: term={} duration_s={}",
          number(),
          Math.round(10 * (now - lastPauseCheckAt)) / 10.0);
      onPauseDetected.run();
    }
    lastPauseCheckAt = now;
  }

  /**
   * Repeats an action until the term has ended. While this controller may not act, the runs are
   * skipped.
   *
   * @param periodS the time from the end of one run to the start of the next, in seconds
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
