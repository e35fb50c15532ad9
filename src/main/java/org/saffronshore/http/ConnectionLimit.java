package org.saffronshore.http;

/**
 * How many connections some part of a node may hold, out of the sockets that the platform lets it
 * have.
 */
public final class ConnectionLimit {
  /**
   * Beyond this share of them connections are closed after each answer, so that there is always one
   * to be had.
   */
  private static final double KEEP_ALIVE_SHARE = 0.85;

  private final int max;
  private int inUse;

  public ConnectionLimit(int max) {
    this.max = max;
  }

  /** Takes a socket; false when all are in use. */
  public boolean tryAcquire() {
    if (inUse >= max) {
      return false;
    }
    inUse++;
    return true;
  }

  public void release() {
    inUse--;
  }

  /** Whether so few are left that connections should not be kept open between requests. */
  public boolean isNearlyExhausted() {
    return inUse > max * KEEP_ALIVE_SHARE;
  }

  public int inUse() {
    return inUse;
  }
}
