package org.saffronshore.state;

import org.saffronshore.http.EventLoop;

/**
 * A token bucket: this controller's share of a rate that all controllers have in common. A reserve
 * of the burst is kept for vital requests, such as renewals of the leader's lease.
 */
public final class RateLimiter {
  /** The share of the burst that only vital requests may use. */
  private static final double RESERVED_FRACTION = 0.2;

  private final EventLoop loop;
  private final double burstS;
  private double perSecond;
  private double tokens;
  private double refilledAt;

  /**
   * Starts with a full bucket.
   *
   * @param perSecond the rate at which the bucket fills
   * @param burstS how many seconds' worth of the rate the bucket holds
   */
  public RateLimiter(EventLoop loop, double perSecond, double burstS) {
    this.loop = loop;
    this.burstS = burstS;
    this.perSecond = perSecond;
    this.tokens = burst();
    this.refilledAt = loop.now();
  }

  private double burst() {
    return Math.max(1, perSecond * burstS);
  }

  private void refill() {
    double now = loop.now();
    tokens = Math.min(burst(), tokens + (now - refilledAt) * perSecond);
    refilledAt = now;
  }

  /** Changes the rate; tokens that are in the bucket stay. */
  public void setRate(double newPerSecond) {
    refill();
    perSecond = newPerSecond;
  }

  /** The rate, per second. */
  public double ratePerSecond() {
    return perSecond;
  }

  /** How many tokens normal requests may take now; negative when only the reserve is left. */
  public double available() {
    refill();
    return tokens - RESERVED_FRACTION * burst();
  }

  /** Takes tokens for a request; false, and none are taken, when there are too few. */
  public boolean tryAcquire(double amount, RequestPriority priority) {
    refill();
    double reserve =
        priority == RequestPriority.VITAL
            ? 0
            : Math.min(burst() * RESERVED_FRACTION, burst() - amount);
    if (tokens - amount < reserve) {
      return false;
    }
    tokens -= amount;
    return true;
  }
}
