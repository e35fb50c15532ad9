package org.saffronshore.cluster;

/**
 * Whether a machine can be trusted with tasks: whether its heartbeats arrive, whether it receives
 * commands, and whether the tasks that it is given fail.
 */
final class MachineHealth {
  /** A machine that fails this many tasks in a row is quarantined. */
  static final int MAX_CONSECUTIVE_FAILURES = 2;

  private final double silentAfterS;

  /**
   * From when its silence counts: its last heartbeat, its first status, or when this controller
   * resumed after a pause.
   */
  private double silenceTimerStartedAt = Double.NEGATIVE_INFINITY;

  private boolean unresponsive;
  private double unresponsiveSince;
  private int consecutiveFailures;
  private double backoffUntil = Double.NEGATIVE_INFINITY;

  /**
   * @param silentAfterS after this time without a heartbeat it is silent
   */
  MachineHealth(double silentAfterS) {
    this.silentAfterS = silentAfterS;
  }

  /** Whether heartbeats that were due have not arrived: it may hang, or be cut off. */
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

  /** Whether its heartbeats arrive, and it seems to receive no commands. */
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

  /** Whether it failed too many tasks in a row to be given more. */
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
   * A task has failed.
   *
   * @param backoffS the backoff for each failure in a row
   */
  void taskFailed(double now, double backoffS) {
    consecutiveFailures++;
    backoffUntil = now + backoffS * consecutiveFailures;
  }

  void taskCompleted() {
    consecutiveFailures = 0;
  }

  /** It has refused a task, and gets no others for a while. */
  void taskRefused(double backoffEndsAt) {
    backoffUntil = backoffEndsAt;
  }
}
