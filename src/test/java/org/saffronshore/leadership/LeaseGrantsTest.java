package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.ManualEventLoop;

class LeaseGrantsTest {
  private static final double LENGTH_S = 10;
  private final ManualEventLoop loop = new ManualEventLoop();
  private final LeaseGrants leaseGrants = new LeaseGrants(loop, LENGTH_S, 3);

  /** A restarted controller does not know what it gave before. */
  @Test
  void givesNothingUntilForgottenTimeIsOver() {
    assertFalse(leaseGrants.grant("n-1", "x", 5));
    loop.pass(LENGTH_S);
    assertFalse(leaseGrants.grant("n-1", "x", 5), "the clock of the one who holds it may run slow");
    loop.pass(0.1);
    assertTrue(leaseGrants.grant("n-1", "x", 5));
  }

  /** Term 5 was given to life x of n-1 some seconds ago; who asks now, and does it get time? */
  @ParameterizedTest
  @CsvSource({
    "1, n-1, x, 5, true",
    "1, n-1, y, 5, false",
    "1, n-1, y, 6, false",
    "1, n-2, z, 6, false",
    "1, n-2, z, 5, false",
    "11, n-2, z, 6, true",
    "11, n-2, z, 5, true",
    "11, n-1, x, 4, false"
  })
  void givesOneAtATime(double later, String node, String life, long term, boolean granted) {
    loop.pass(LENGTH_S * 2);
    assertTrue(leaseGrants.grant("n-1", "x", 5));
    loop.pass(later);
    assertEquals(granted, leaseGrants.grant(node, life, term));
  }

  @Test
  void whoGivesUpFreesTheTime() {
    loop.pass(LENGTH_S * 2);
    leaseGrants.grant("n-1", "x", 5);
    leaseGrants.withdraw("n-2", "z", 5);
    assertFalse(leaseGrants.grant("n-2", "z", 6));
    leaseGrants.withdraw("n-1", "x", 5);
    assertTrue(leaseGrants.grant("n-2", "z", 6));
  }

  @Test
  void holdsFromWhenItAsked() {
    assertFalse(loop.now() < leaseGrants.quorumLeaseUntil());
    double asked = loop.now();
    leaseGrants.held("n-1", asked);
    assertTrue(leaseGrants.quorumLeaseUntil() < asked + LENGTH_S);
    leaseGrants.held("n-1", asked - 5);
    assertTrue(
        loop.now() + LENGTH_S * 0.99 < leaseGrants.quorumLeaseUntil(),
        "an older answer takes nothing away");
    assertEquals(Double.POSITIVE_INFINITY, new LeaseGrants(loop, LENGTH_S, 1).quorumLeaseUntil());
  }
}
