package org.saffronshore.http;

/**
 * A limit on the number of connections that one component of a controller holds, so that the
 * components together stay within the socket limit of the process.
 */
public final class ConnectionLimit {
  /**
   * The share of the limit above which connections are closed after each response, so that new
   * connections can still be accepted.
   */
  private static final double KEEP_ALIVE_SHARE = 0.85;

  private final int max;
  private int inUse;

  public ConnectionLimit(int max) {
    this.max = max;
  }

  /** Reserves a connection; returns false if the limit has been reached. */
  public boolean tryAcquire() {
    if (inUse >= max) {
      return false;
    }
    inUse++;
    return true;
  }

  /** Releases a connection that was reserved with {@link #tryAcquire}. */
  public void release() {
    inUse--;
  }

  /** Returns whether so few connections are left that none should be kept open between requests. */
  public boolean isNearlyExhausted() {
    return inUse > max * KEEP_ALIVE_SHARE;
  }

  public int inUse() {
    return inUse;
  }
}
