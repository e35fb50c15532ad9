package org.saffronshore.state;

import org.saffronshore.http.EventLoop;

/**
 * This node's share of a rate that the service's nodes have in common. A part of the burst is kept
 * for what the service cannot do without, such as renewing the leader's lease.
 */
public final class RateLimiter {
  /** Users' requests leave this share of the burst alone. */
  private static final double RESERVED = 0.2;

  private final EventLoop loop;
  private final double burstS;
  private double perSecond;
  private double level;
  private double at;

  /**
   * @param burstS how many seconds' worth may be spent at once after a quiet time
   */
  public RateLimiter(EventLoop loop, double perSecond, double burstS) {
    this.loop = loop;
    this.burstS = burstS;
    this.perSecond = perSecond;
    this.level = burst();
    this.at = loop.now();
  }

  private double burst() {
    return Math.max(1, perSecond * burstS);
  }

  private void fill() {
    double now = loop.now();
    level = Math.min(burst(), level + (now - at) * perSecond);
    at = now;
  }

  /** Changes the share of this node; what it has saved up stays. */
  public void setRate(double newPerSecond) {
    fill();
    perSecond = newPerSecond;
  }

  /** The share of this node. */
  public double ratePerSecond() {
    return perSecond;
  }

  /** How much a request of users may take now. */
  public double available() {
    fill();
    return level - RESERVED * burst();
  }

  /** Spends some of the share; false when that is not there. Vital requests may use the reserve. */
  public boolean tryAcquire(double amount, boolean vital) {
    fill();
    double floor = vital ? 0 : Math.min(burst() * RESERVED, burst() - amount);
    if (level - amount < floor) {
      return false;
    }
    level -= amount;
    return true;
  }
}
