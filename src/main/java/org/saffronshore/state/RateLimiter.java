package org.saffronshore.state;

import org.saffronshore.http.EventLoop;

/**
 * A token bucket for this controller's share of a rate that all controllers share. A fraction of
 * the burst is reserved for vital requests, such as renewals of the leader's lease.
 */
public final class RateLimiter {
  /** The fraction of the burst that only vital requests may use. */
  private static final double RESERVED_FRACTION = 0.2;

  private final EventLoop loop;
  private final double burstS;
  private double perSecond;
  private double tokens;
  private double refilledAt;

  /**
   * Creates a limiter with a full bucket.
   *
   * @param perSecond the rate at which the bucket fills, in tokens per second
   * @param burstS the capacity of the bucket, as the number of seconds in which it fills
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

  /** Changes the rate; the tokens in the bucket are kept. */
  public void setRate(double newPerSecond) {
    refill();
    perSecond = newPerSecond;
  }

  /** Returns the rate, in tokens per second. */
  public double ratePerSecond() {
    return perSecond;
  }

  /** Returns the tokens left for normal requests; negative when the reserve is partly used. */
  public double available() {
    refill();
    return tokens - RESERVED_FRACTION * burst();
  }

  /** Takes tokens for a request. Returns false, and takes none, when there are too few. */
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
