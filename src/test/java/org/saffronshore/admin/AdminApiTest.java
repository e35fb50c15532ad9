package org.saffronshore.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.state.StateClient;
import org.saffronshore.wire.Json;

class AdminApiTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final Metrics metrics = new Metrics();
  private final AdminApi api =
      new AdminApi(
          new StateClient(loop, new FakeStateService(loop), TestData.settings()),
          metrics,
          Set.of("red"),
          () -> new ControllerStatus("n-0", true, "n-0", 3, true, Optional.empty()));

  private record ReceivedResponse(int status, String body) {
    JsonNode json() {
      return Json.parse(body.getBytes(UTF_8));
    }
  }

  private ReceivedResponse send(String method, String path, String body) {
    List<ReceivedResponse> responses = new ArrayList<>();
    assertTrue(
        api.handle(
            new Request(method, path, body.getBytes(UTF_8)),
            (status, type, bytes, retryAfterS) ->
                responses.add(new ReceivedResponse(status, new String(bytes, UTF_8)))));
    loop.advance(5);
    assertEquals(1, responses.size());
    return responses.get(0);
  }

  @Test
  void settingsAreChangedOnlyWithTheirCurrentVersion() {
    assertEquals(0, send("GET", "/admin/settings", "").json().get("version").asLong());
    String request = "{\"version\":0,\"settings\":{\"period_s\":2,\"team_weights\":{\"red\":3}}}";
    long version = send("PUT", "/admin/settings", request).json().get("version").asLong();
    JsonNode read = send("GET", "/admin/settings", "").json();
    assertEquals(version, read.get("version").asLong());
    assertEquals(2, read.at("/settings/period_s").asDouble());
    assertEquals(3, read.at("/settings/team_weights/red").asDouble());
    assertEquals(409, send("PUT", "/admin/settings", request).status());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"period_s\":0} | period_s",
        "{\"eviction_probability\":1.5} | eviction_probability",
        "{\"gpu_weight\":-1} | gpu_weight",
        "{\"speed\":1} | speed",
        "{\"team_weights\":{\"blue\":1}} | team_weights.blue",
        "{\"team_weights\":{\"red\":0}} | red"
      })
  void invalidSettingIsRefusedWithItsFieldName(String settings, String field) {
    ReceivedResponse response =
        send("PUT", "/admin/settings", "{\"version\":0,\"settings\":" + settings + "}");
    assertEquals(400, response.status());
    assertTrue(response.json().get("field").asText().endsWith(field), response.body());
  }

  @Test
  void metricsAndStatusAreServed() {
    metrics.increment(Metrics.Counter.TASKS_PLACED, 7);
    metrics.recordLatency(Metrics.Latency.CYCLE, 0.25);
    String scraped = send("GET", "/metrics", "").body();
    assertTrue(scraped.contains("saffronshore_tasks_placed_total 7.0"), scraped);
    assertTrue(scraped.contains("saffronshore_cycle_seconds{quantile=\"0.5\"} 0.25"), scraped);
    assertEquals(3, send("GET", "/admin/status", "").json().get("term").asLong());
    assertEquals(405, send("POST", "/metrics", "").status());
    assertFalse(api.handle(new Request("GET", "/work", new byte[0]), (s, t, b, r) -> {}));
  }
}
