package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/** The limits of the state service become lower without notice. */
class StateServiceLimitsTest extends ControllerTestBase {
  /**
   * Sizes keep to the smaller limits from the start, and pages written under the larger ones are
   * read and split. A job with more tasks than a short value can hold is not run again either.
   */
  @Test
  void upcomingSizeLimitsAreKeptFromTheStart() throws InvalidFieldException {
    ObjectNode unlimited = TestData.settingsJson();
    unlimited.withObject("/cluster/teams/0").put("cpus_max", 0);
    process.dead = true;
    process = new ControllerProcess("n-0", false, unlimited.deepCopy());
    loop.pass(2);
    for (int i = 0; i < 60; i++) {
      submit(job("wk-" + i, 4));
    }
    loop.pass(15);
    int machines = workers.size();
    assertEquals(240, starts.size());
    ObjectNode upcoming = unlimited;
    upcoming
        .withObject("/cluster/state/next")
        .put("value_kb", 1)
        .put("txn_ops", 4)
        .put("write_rps", 100);
    process.dead = true;
    process = new ControllerProcess("n-0", false, upcoming);
    state.valueBytes = 1024;
    state.txnOps = 4;
    loop.pass(2);
    submit(TestData.job("wk-100", "free", Priority.STANDARD, 12_000, 0.002));
    loop.pass(RUN_S + 40);
    for (int i = 0; i < 60; i++) {
      assertEquals("done", status("wk-" + i));
    }
    assertTrue(machines >= 120, machines + " machines");
    assertEquals(
        240,
        starts.stream().filter(task -> !task.startsWith("wk-100/")).count(),
        "none was started twice");
    assertEquals(0, state.malformed);
    assertEquals("done", status("wk-100"));
  }

  /**
   * A response for the rate limit makes a controller keep to the upcoming rate; the leader keeps
   * its share of it.
   */
  @Test
  void rateLimitResponseLowersTheRateToTheUpcomingLimit() throws InvalidFieldException {
    ObjectNode upcoming = TestData.settingsJson();
    upcoming.withObject("/cluster/state/next").put("write_rps", 3);
    process.dead = true;
    process = new ControllerProcess("n-0", false, upcoming);
    loop.pass(5);
    int before = process.node.state().availableWrites();
    state.writeRps = 3;
    for (int i = 0; i < 5; i++) {
      process.node.handle(
          new Request("POST", "/work", Json.bytes(job("wk-" + i, 1).toJson())),
          (code, type, bytes, retryAfterS) -> {});
    }
    loop.pass(10);
    assertTrue(
        before > 100 && process.node.state().availableWrites() <= 5,
        before + ", " + process.node.state().availableWrites());
    loop.pass(60);
    assertEquals("done", status("wk-0"));
  }
}
