package org.saffronshore.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.wire.MachineKind;

/**
 * Tests the backoff of refused machine kinds; {@link TestData#MACHINE_TYPES} has a boot time of 40
 * s.
 */
class CapacityBackoffTest {
  private static final MachineKind KIND = new MachineKind("big", "a", true);
  private static final MachineKind OTHER_ZONE = new MachineKind("big", "b", true);

  private final ManualEventLoop loop = new ManualEventLoop();
  private final Cluster cluster = new Cluster(loop, TestData.settings(), new FencingTokens(1), 1);
  private final CapacityBackoff backoff =
      new CapacityBackoff(loop, new BootTimes(TestData.settings(), cluster));

  @BeforeEach
  void setMachineTypes() {
    cluster.machineTypes(TestData.MACHINE_TYPES);
  }

  private double backoffAfterRefusalS() {
    backoff.onRefused(KIND);
    double elapsedS = 0;
    while (!backoff.mayRequest(KIND, loop.now())) {
      loop.advance(1);
      elapsedS++;
    }
    return elapsedS;
  }

  @Test
  void kindWithoutRefusalMayBeRequested() {
    assertTrue(backoff.mayRequest(KIND, loop.now()));
    assertFalse(backoff.wasRefused(KIND));
  }

  @Test
  void backoffDoublesFromAnEighthOfTheBootTimeUpToTheBootTime() {
    for (double expectedS : new double[] {5, 10, 20, 40, 40}) {
      assertEquals(expectedS, backoffAfterRefusalS());
    }
  }

  @Test
  void kindStaysRefusedAfterItsBackoffHasElapsed() {
    backoffAfterRefusalS();
    assertTrue(backoff.wasRefused(KIND));
  }

  @Test
  void refusalDoesNotAffectOtherKinds() {
    backoff.onRefused(KIND);
    assertTrue(backoff.mayRequest(OTHER_ZONE, loop.now()));
    assertFalse(backoff.wasRefused(OTHER_ZONE));
  }

  @Test
  void backoffIsResetWhenKindBecomesAvailable() {
    backoffAfterRefusalS();
    backoff.onRefused(KIND);
    backoff.onAvailable(KIND);
    assertTrue(backoff.mayRequest(KIND, loop.now()));
    assertFalse(backoff.wasRefused(KIND));
    assertEquals(5, backoffAfterRefusalS());
  }
}
