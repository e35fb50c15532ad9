package org.saffronshore.cluster;

/**
 * The health of a machine: whether its heartbeats arrive, whether it receives commands, and whether
 * the tasks that are launched on it fail.
 */
final class MachineHealth {
  /** A machine on which this many tasks in a row have failed is quarantined. */
  static final int MAX_CONSECUTIVE_FAILURES = 2;

  private final double silentAfterS;

  /**
   * The moment from which the time without heartbeats is measured: the last heartbeat, the first
   * status, or the moment at which this controller resumed after a pause.
   */
  private double silenceTimerStartedAt = Double.NEGATIVE_INFINITY;

  private boolean unresponsive;
  private double unresponsiveSince;
  private int consecutiveFailures;
  private double backoffUntil = Double.NEGATIVE_INFINITY;

  /**
   * Creates the health of a machine that has not been heard from.
   *
   * @param silentAfterS the time without a heartbeat after which the machine is silent
   */
  MachineHealth(double silentAfterS) {
    this.silentAfterS = silentAfterS;
  }

  /**
   * Returns whether heartbeats that were due have not arrived: the machine may hang or be
   * disconnected.
   */
  boolean isSilent(double now) {
    return isSilentFor(silentAfterS, now);
  }

  boolean isSilentFor(double durationS, double now) {
    return now > silenceTimerStartedAt + durationS;
  }

  boolean wasEverHeardFrom() {
    return silenceTimerStartedAt != Double.NEGATIVE_INFINITY;
  }

  void restartSilenceTimer(double moment) {
    silenceTimerStartedAt = moment;
  }

  /** Returns whether the machine's heartbeats arrive but it seems to receive no commands. */
  boolean isUnresponsive() {
    return unresponsive;
  }

  double unresponsiveSince() {
    return unresponsiveSince;
  }

  void markUnresponsive(double now) {
    unresponsive = true;
    unresponsiveSince = now;
  }

  void markResponsive() {
    unresponsive = false;
  }

  /** Returns whether too many tasks in a row failed on the machine for it to get more. */
  boolean isQuarantined() {
    return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  boolean isInBackoff(double now) {
    return now < backoffUntil;
  }

  double backoffUntil() {
    return backoffUntil;
  }

  /**
   * Records that a task has failed on the machine, and starts a backoff.
   *
   * @param backoffS the backoff per consecutive failure
   */
  void taskFailed(double now, double backoffS) {
    consecutiveFailures++;
    backoffUntil = now + backoffS * consecutiveFailures;
  }

  void taskCompleted() {
    consecutiveFailures = 0;
  }

  /** Records that the machine has refused a task; it gets no others until the backoff ends. */
  void taskRefused(double backoffEndsAt) {
    backoffUntil = backoffEndsAt;
  }
}
