package org.saffronshore.state;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * This controller's share of the state service's rates of requests and of writes. The leader has a
 * part of each rate to itself, since it writes for the whole cluster; the rest is shared equally,
 * and the leader takes part in that too.
 *
 * <p>The settings may announce lower limits that will hold at some later time. Each controller
 * finds out by itself that they hold: when the service refuses a request for its rate, the
 * controller keeps to them for some leases, and then tries the higher limits again.
 */
final class RequestBudget {
  /** The leader's own part of all requests. */
  private static final double LEADER_REQUEST_FRACTION = 0.15;

  /** The leader's own part of all writes. */
  private static final double LEADER_WRITE_FRACTION = 0.3;

  private static final double REQUEST_BURST_S = 1;
  private static final double WRITE_BURST_S = 1.5;

  /** For how many worker leases the next limits are kept to after a refusal for the rate. */
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

  private double shareOf(double rate, double leaderPart) {
    return rate * ((1 - leaderPart) / settings.controllerCount() + (leading ? leaderPart : 0));
  }

  /** Whether this controller leads from now on. */
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

  /** The service refused a request for its rate: its next limits may hold by now. */
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

  /** How many requests per second this controller may make. */
  double requestsPerS() {
    return requests.ratePerSecond();
  }

  /** How many writes normal requests may make now. */
  int availableWrites() {
    return (int) writes.available();
  }
}
