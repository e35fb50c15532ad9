package org.saffronshore.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;

/** The jobs were read at 100; two peers, n-1 and n-2, tell what they learned of. */
class CancellationHorizonTest {

  /**
   * Each entry of a script is peer, when it was asked, and since when nothing is missing in what it
   * told.
   */
  @ParameterizedTest
  @CsvSource({
    "'', 100",
    "'n-1 110 50', 100", // The other one may have confirmed more.
    "'n-1 110 50, n-2 112 50', 110",
    "'n-1 110 50, n-2 112 100', 110",
    "'n-1 110 50, n-2 112 101', 100", // Started anew since: its last life may have confirmed more.
    "'n-1 110 50, n-2 112 50, n-2 120 111, n-1 130 50', 120", // Told without a break.
    "'n-1 110 50, n-2 112 50, n-2 120 113, n-1 130 50', 112", // Something may be missing between
    // 112 and 113.
    "'n-1 90 50, n-2 95 50', 100",
    "'n-9 200 0, n-8 200 0', 100"
  })
  void isCompleteOnlyWhereNothingCanBeMissing(String script, double upTo) {
    CancellationHorizon known = new CancellationHorizon(TestData.settings());
    known.recordRead(100);
    for (String told : script.isEmpty() ? new String[0] : script.split(", ")) {
      String[] t = told.split(" ", -1);
      known.recordPeerReport(t[0], Double.parseDouble(t[1]), Double.parseDouble(t[2]));
    }
    assertEquals(upTo, known.horizon());
  }

  @Test
  void withoutAReadNothingIsKnown() {
    CancellationHorizon known = new CancellationHorizon(TestData.settings());
    known.recordPeerReport("n-1", 110, 50);
    known.recordPeerReport("n-2", 110, 50);
    assertEquals(Double.NEGATIVE_INFINITY, known.renewalsAllowedUntil());
    known.recordRead(100);
    known.recordRead(90);
    assertEquals(100, known.horizon(), "a late answer takes nothing back");
  }

  /**
   * A task that is kept alive at the last moment ends with its lease, before its cancellation is
   * due.
   */
  @ParameterizedTest
  @CsvSource({"20, 40, 116.98", "36, 66, 126.964", "20, 20, 103.333"})
  void leavesALease(double leaseS, double cancelS, double until) throws InvalidFieldException {
    var json = TestData.settingsJson();
    json.withObject("/cluster/workers").put("lease_s", leaseS).put("cancel_s", cancelS);
    CancellationHorizon known = new CancellationHorizon(Settings.parse(json));
    known.recordRead(100);
    assertEquals(until, known.renewalsAllowedUntil(), 0.001);
  }
}
