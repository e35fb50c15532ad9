package org.saffronshore.state;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * This controller's share of the state service's request and write rates. A fraction of each rate
 * is reserved for the leader, since it writes for the whole cluster. The rest is shared equally
 * among all controllers, including the leader.
 *
 * <p>The settings may announce lower limits that take effect at some later time. Each controller
 * detects independently of the others whether the lower limits are in effect: when the service
 * rejects a request because of the rate limit, the controller keeps to the lower limits for several
 * worker leases, and then tries the higher limits again.
 */
final class RequestBudget {
  /** The fraction of the request rate that is reserved for the leader. */
  private static final double LEADER_REQUEST_FRACTION = 0.15;

  /** The fraction of the write rate that is reserved for the leader. */
  private static final double LEADER_WRITE_FRACTION = 0.3;

  private static final double REQUEST_BURST_S = 1;
  private static final double WRITE_BURST_S = 1.5;

  /**
   * How long the next limits apply after a rejection because of the rate limit, in worker leases.
   */
  private static final double NEXT_LIMITS_DURATION_LEASES = 4;

  private final EventLoop loop;
  private final Settings settings;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private boolean leading;
  private double nextLimitsUntil = Double.NEGATIVE_INFINITY;

  RequestBudget(EventLoop loop, Settings settings) {
    this.loop = loop;
    this.settings = settings;
    this.requests =
        new RateLimiter(
            loop, shareOf(settings.stateRequestsPerS(), LEADER_REQUEST_FRACTION), REQUEST_BURST_S);
    this.writes =
        new RateLimiter(
            loop, shareOf(settings.stateWritesPerS(), LEADER_WRITE_FRACTION), WRITE_BURST_S);
  }

  private double shareOf(double rate, double leaderFraction) {
    return rate
        * ((1 - leaderFraction) / settings.controllerCount() + (leading ? leaderFraction : 0));
  }

  /** Sets whether this controller leads. */
  void setLeading(boolean nowLeading) {
    leading = nowLeading;
    updateRates();
  }

  private void updateRates() {
    boolean nextLimits = loop.now() < nextLimitsUntil;
    requests.setRate(
        shareOf(
            nextLimits
                ? Math.min(settings.stateRequestsPerS(), settings.nextStateRequestsPerS())
                : settings.stateRequestsPerS(),
            LEADER_REQUEST_FRACTION));
    writes.setRate(
        shareOf(
            nextLimits
                ? Math.min(settings.stateWritesPerS(), settings.nextStateWritesPerS())
                : settings.stateWritesPerS(),
            LEADER_WRITE_FRACTION));
  }

  /**
   * Handles the rejection of a request because of the rate limit: the next limits may be in effect.
   */
  void onRateLimited() {
    if (settings.nextStateRequestsPerS() < settings.stateRequestsPerS()
        || settings.nextStateWritesPerS() < settings.stateWritesPerS()) {
      double durationS = NEXT_LIMITS_DURATION_LEASES * settings.workerLeaseS();
      nextLimitsUntil = loop.now() + durationS;
      updateRates();
      loop.schedule(durationS, this::updateRates);
    }
  }

  boolean tryAcquireRequest(RequestPriority priority) {
    return requests.tryAcquire(1, priority);
  }

  boolean tryAcquireWrites(int count, RequestPriority priority) {
    return writes.tryAcquire(count, priority);
  }

  /** Returns the number of requests per second that this controller may send. */
  double requestsPerS() {
    return requests.ratePerSecond();
  }

  /** Returns the number of writes that normal requests may make now. */
  int availableWrites() {
    return (int) writes.available();
  }
}
