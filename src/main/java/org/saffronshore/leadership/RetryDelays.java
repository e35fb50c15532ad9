package org.saffronshore.leadership;

import java.util.random.RandomGenerator;

/** Random delays, in seconds, which keep candidates from campaigning at the same moment. */
final class RetryDelays {
  /**
   * The mean delay is the duration of the lease divided by this. It is long compared with a round
   * of votes, so that one candidate usually completes its round ahead of the others.
   */
  private static final double MEAN_DELAY_DIVISOR = 10;

  /** Delays are uniformly distributed from 0.5 to 1.5 times the mean. */
  private static final double MIN_DELAY_FACTOR = 0.5;

  private static final double REVOCATION_DELAY_FACTOR = 1.0 / 4;
  private static final double MAX_KEY_CHANGE_DELAY_DIVISOR = 20;

  private final RandomGenerator random;
  private final double leaseDurationS;

  RetryDelays(RandomGenerator random, double leaseDurationS) {
    this.random = random;
    this.leaseDurationS = leaseDurationS;
  }

  /** Returns the delay before the leader key is read again, which precedes the next campaign. */
  double nextRetryS() {
    return leaseDurationS / MEAN_DELAY_DIVISOR * (MIN_DELAY_FACTOR + random.nextDouble());
  }

  /** Returns the delay after the lease of an earlier incarnation of this controller was revoked. */
  double afterRevocationS() {
    return nextRetryS() * REVOCATION_DELAY_FACTOR;
  }

  /** Returns the delay after the leader key was set or removed. */
  double afterKeyChangeS() {
    return random.nextDouble() * leaseDurationS / MAX_KEY_CHANGE_DELAY_DIVISOR;
  }
}
