package org.saffronshore.leadership;

import java.util.random.RandomGenerator;

/** Random delays, in seconds, so that candidates do not campaign at the same moment. */
final class RetryDelays {
  /**
   * The mean delay is this part of the lease's duration. It is long against a round of votes, so
   * that one candidate is ahead of the others.
   */
  private static final double MEAN_DELAYS_PER_LEASE = 10;

  /** A delay is half of the mean to one and a half times the mean. */
  private static final double MIN_DELAY_FACTOR = 0.5;

  private static final double REVOCATION_DELAY_FACTOR = 1.0 / 4;
  private static final double MAX_KEY_CHANGE_DELAYS_PER_LEASE = 20;

  private final RandomGenerator random;
  private final double leaseDurationS;

  RetryDelays(RandomGenerator random, double leaseDurationS) {
    this.random = random;
    this.leaseDurationS = leaseDurationS;
  }

  /** Before the next attempt to read the leader's key, or the next campaign. */
  double nextRetryS() {
    return leaseDurationS / MEAN_DELAYS_PER_LEASE * (MIN_DELAY_FACTOR + random.nextDouble());
  }

  /** After the lease of an earlier incarnation of this controller was revoked. */
  double afterRevocationS() {
    return nextRetryS() * REVOCATION_DELAY_FACTOR;
  }

  /** After the leader's key was set or removed. */
  double afterKeyChangeS() {
    return random.nextDouble() * leaseDurationS / MAX_KEY_CHANGE_DELAYS_PER_LEASE;
  }
}
