package org.saffronshore.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;

/** The open jobs were read at 100; two peers, n-1 and n-2, report the cancellations they know. */
class CancellationHorizonTest {

  /**
   * Each entry of a script is the peer, when it was asked, and since when its report is complete.
   */
  @ParameterizedTest
  @CsvSource({
    "'', 100",
    "'n-1 110 50', 100", // The other one may have confirmed more.
    "'n-1 110 50, n-2 112 50', 110",
    "'n-1 110 50, n-2 112 100', 110",
    "'n-1 110 50, n-2 112 101', 100", // Restarted since: its last incarnation may have confirmed
    // more.
    "'n-1 110 50, n-2 112 50, n-2 120 111, n-1 130 50', 120", // Reported without a gap.
    "'n-1 110 50, n-2 112 50, n-2 120 113, n-1 130 50', 112", // Something may be missing between
    // 112 and 113.
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
    assertEquals(100, horizon.horizon(), "a late response does not move it back");
  }

  /**
   * A task that is kept alive at the last moment ends with its lease, before its cancellation is
   * due.
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
