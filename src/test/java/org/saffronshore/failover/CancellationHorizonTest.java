package org.saffronshore.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;

/**
 * Tests up to which time cancellations are known, after the open jobs were read at 100 s and the
 * two peers of the controller, n-1 and n-2, have reported cancellations.
 */
class CancellationHorizonTest {

  /**
   * Each report in a script consists of the peer, the time of the request to it, and the time since
   * which its report is complete.
   */
  @ParameterizedTest
  @CsvSource({
    "'', 100",
    // n-2 has not reported and may have confirmed more.
    "'n-1 110 50', 100",
    "'n-1 110 50, n-2 112 50', 110",
    "'n-1 110 50, n-2 112 100', 110",
    // n-2 was restarted after the read: its previous process may have confirmed more.
    "'n-1 110 50, n-2 112 101', 100",
    // The reports of n-2 have no gap.
    "'n-1 110 50, n-2 112 50, n-2 120 111, n-1 130 50', 120",
    // Cancellations between 112 and 113 may be missing.
    "'n-1 110 50, n-2 112 50, n-2 120 113, n-1 130 50', 112",
    "'n-1 90 50, n-2 95 50', 100",
    "'n-9 200 0, n-8 200 0', 100"
  })
  void horizonAdvancesOnlyWithReportsOfAllPeersWithoutGaps(String script, double expectedHorizon) {
    CancellationHorizon horizon = new CancellationHorizon(TestData.settings());
    horizon.recordRead(100);
    for (String report : script.isEmpty() ? new String[0] : script.split(", ")) {
      String[] fields = report.split(" ", -1);
      horizon.recordPeerReport(
          fields[0], Double.parseDouble(fields[1]), Double.parseDouble(fields[2]));
    }
    assertEquals(expectedHorizon, horizon.horizon());
  }

  @Test
  void horizonStaysAtNegativeInfinityUntilTheFirstRead() {
    CancellationHorizon horizon = new CancellationHorizon(TestData.settings());
    horizon.recordPeerReport("n-1", 110, 50);
    horizon.recordPeerReport("n-2", 110, 50);
    assertEquals(Double.NEGATIVE_INFINITY, horizon.renewalsAllowedUntil());
    horizon.recordRead(100);
    horizon.recordRead(90);
    assertEquals(
        100,
        horizon.horizon(),
        "a late response to an earlier request must not move the horizon back");
  }

  /**
   * A task whose lease is renewed at the last permitted time must end, by lease expiry, before the
   * cancellation deadline.
   */
  @ParameterizedTest
  @CsvSource({"20, 40, 116.98", "36, 66, 126.964", "20, 20, 103.333"})
  void renewalsEndOneLeaseBeforeTheCancellationDeadline(
      double leaseS, double cancelS, double expectedUntil) throws InvalidFieldException {
    var json = TestData.settingsJson();
    json.withObject("/cluster/workers").put("lease_s", leaseS).put("cancel_s", cancelS);
    CancellationHorizon horizon = new CancellationHorizon(Settings.parse(json));
    horizon.recordRead(100);
    assertEquals(expectedUntil, horizon.renewalsAllowedUntil(), 0.001);
  }
}
