package org.saffronshore.http;

/**
 * How many connections some part of a node may hold, out of the sockets that the platform lets it
 * have.
 */
public final class Sockets {
  /**
   * Beyond this share of them connections are closed after each answer, so that there is always one
   * to be had.
   */
  private static final double KEPT_SHARE = 0.85;

  private final int most;
  private int taken;

  public Sockets(int most) {
    this.most = most;
  }

  /** Takes a socket; false when all are in use. */
  public boolean take() {
    if (taken >= most) {
      return false;
    }
    taken++;
    return true;
  }

  public void release() {
    taken--;
  }

  /** Whether so few are left that connections should not be kept open between requests. */
  public boolean scarce() {
    return taken > most * KEPT_SHARE;
  }

  public int taken() {
    return taken;
  }
}
