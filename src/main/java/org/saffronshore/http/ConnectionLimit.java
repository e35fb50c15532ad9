package org.saffronshore.http;

/** How many connections one part of a controller may hold, out of the sockets of the process. */
public final class ConnectionLimit {
  /**
   * Beyond this share of the limit, connections are closed after each response, so that a new one
   * can always be accepted.
   */
  private static final double KEEP_ALIVE_SHARE = 0.85;

  private final int max;
  private int inUse;

  public ConnectionLimit(int max) {
    this.max = max;
  }

  /** Takes a connection; false when all are in use. */
  public boolean tryAcquire() {
    if (inUse >= max) {
      return false;
    }
    inUse++;
    return true;
  }

  /** Gives a connection back that was acquired. */
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
