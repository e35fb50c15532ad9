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

/** The limits of the state service are lowered without notice while controllers run. */
class StateServiceLimitsTest extends ControllerTestBase {
  /**
   * A controller keeps its values and transactions within the smaller of the current and the
   * upcoming size limits from the start. It reads and splits pages that were written under larger
   * limits. Finished tasks are not run again, also of a job that has more tasks than one value can
   * represent.
   */
  @Test
  void upcomingSizeLimitsAreKeptFromTheStart() throws InvalidFieldException {
    ObjectNode unlimited = TestData.settingsJson();
    unlimited.withObject("/cluster/teams/0").put("cpus_max", 0);
    process.crashed = true;
    process = new ControllerProcess("n-0", false, unlimited.deepCopy());
    loop.advance(2);
    for (int i = 0; i < 60; i++) {
      submit(job("wk-" + i, 4));
    }
    loop.advance(15);
    int machines = workers.size();
    assertEquals(240, startedTasks.size());
    ObjectNode upcoming = unlimited;
    upcoming
        .withObject("/cluster/state/next")
        .put("value_kb", 1)
        .put("txn_ops", 4)
        .put("write_rps", 100);
    process.crashed = true;
    process = new ControllerProcess("n-0", false, upcoming);
    state.valueBytesLimit = 1024;
    state.txnOpsLimit = 4;
    loop.advance(2);
    submit(TestData.job("wk-100", "free", Priority.STANDARD, 12_000, 0.002));
    loop.advance(DEFAULT_RUNTIME_S + 40);
    for (int i = 0; i < 60; i++) {
      assertEquals("done", status("wk-" + i));
    }
    assertTrue(machines >= 120, machines + " machines");
    assertEquals(
        240,
        startedTasks.stream().filter(task -> !task.startsWith("wk-100/")).count(),
        "no task may be started twice");
    assertEquals(0, state.invalidTransactions);
    assertEquals("done", status("wk-100"));
  }

  /**
   * After a response with status 429, a controller keeps to the upcoming rate limit. The leader
   * keeps its share of that rate.
   */
  @Test
  void rateLimitResponseLowersTheRateToTheUpcomingLimit() throws InvalidFieldException {
    ObjectNode upcoming = TestData.settingsJson();
    upcoming.withObject("/cluster/state/next").put("write_rps", 3);
    process.crashed = true;
    process = new ControllerProcess("n-0", false, upcoming);
    loop.advance(5);
    int before = process.controller.state().availableWrites();
    state.writeRpsLimit = 3;
    for (int i = 0; i < 5; i++) {
      process.controller.handle(
          new Request("POST", "/work", Json.bytes(job("wk-" + i, 1).toJson())),
          (code, type, bytes, retryAfterS) -> {});
    }
    loop.advance(10);
    assertTrue(
        before > 100 && process.controller.state().availableWrites() <= 5,
        before + ", " + process.controller.state().availableWrites());
    loop.advance(60);
    assertEquals("done", status("wk-0"));
  }
}
