package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.ManualEventLoop;

class LeaseGrantsTest {
  private static final double LEASE_DURATION_S = 10;
  private static final ControllerProcess HOLDER = new ControllerProcess("n-1", "x");
  private static final ControllerProcess OTHER = new ControllerProcess("n-2", "z");

  private final ManualEventLoop loop = new ManualEventLoop();
  private final LeaseGrants leaseGrants = new LeaseGrants(loop, LEASE_DURATION_S);

  /** A restarted controller does not know which leases its earlier incarnation granted. */
  @Test
  void nothingIsGrantedUntilLeasesOfAnEarlierIncarnationHaveExpired() {
    assertFalse(leaseGrants.tryGrant(HOLDER, 5));
    loop.advance(LEASE_DURATION_S);
    assertFalse(
        leaseGrants.tryGrant(HOLDER, 5),
        "the lease may still be valid on the holder's clock, which may run slow");
    loop.advance(0.1);
    assertTrue(leaseGrants.tryGrant(HOLDER, 5));
  }

  /** Requests the lease some seconds after it was granted to incarnation x of n-1 for term 5. */
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
  void leaseIsGrantedToOneProcessAtATimeAndNeverForAnEarlierTerm(
      double secondsLater, String node, String incarnation, long term, boolean granted) {
    loop.advance(LEASE_DURATION_S * 2);
    assertTrue(leaseGrants.tryGrant(HOLDER, 5));
    loop.advance(secondsLater);
    assertEquals(granted, leaseGrants.tryGrant(new ControllerProcess(node, incarnation), term));
  }

  @Test
  void onlyWithdrawalByTheHolderReleasesTheLease() {
    loop.advance(LEASE_DURATION_S * 2);
    leaseGrants.tryGrant(HOLDER, 5);
    leaseGrants.releaseIfHeldBy(OTHER, 5);
    assertFalse(leaseGrants.tryGrant(OTHER, 6));
    leaseGrants.releaseIfHeldBy(HOLDER, 5);
    assertTrue(leaseGrants.tryGrant(OTHER, 6));
  }

  @Test
  void quorumLeaseRunsFromTheLatestGrantedRequest() {
    QuorumLease quorumLease = new QuorumLease(LEASE_DURATION_S, new Quorum(3));
    assertFalse(loop.now() < quorumLease.validUntil());
    double requestedAt = loop.now();
    quorumLease.recordGrant("n-1", requestedAt);
    assertTrue(quorumLease.validUntil() < requestedAt + LEASE_DURATION_S);
    quorumLease.recordGrant("n-1", requestedAt - 5);
    assertTrue(
        loop.now() + LEASE_DURATION_S * 0.99 < quorumLease.validUntil(),
        "a response to an earlier request should not shorten the quorum lease");
    QuorumLease ofOneController = new QuorumLease(LEASE_DURATION_S, new Quorum(1));
    assertEquals(Double.POSITIVE_INFINITY, ofOneController.validUntil());
  }
}
