package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.resource;

import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.compatibility.ControllerHarness.ControllerResponse;

/** Tests requests of operators, which come on the address of peers, and the responses. */
class AdministrationTest {
  private static final String DEFAULT_SETTINGS =
      "{\"period_s\":5.0,\"eviction_probability\":0.1,\"gpu_weight\":1.0,\"memory_weight\":0.0,"
          + "\"team_weights\":{}}";
  private static final String STATE_SERVICE_UNAVAILABLE =
      "settings unknown: no valid response from the state service";

  private final ControllerHarness controller = new ControllerHarness();

  private static String versionedSettings(long version, String settings) {
    return "{\"version\":" + version + ",\"settings\":" + settings + "}";
  }

  private ControllerResponse putSettings(String body) {
    return controller.requestAsOperator("PUT", "/admin/settings", body);
  }

  private ControllerResponse getStatus() {
    return controller.requestAsOperator("GET", "/admin/status", null);
  }

  // Status

  @Test
  void statusOfFollowerOmitsLeaderFields() {
    controller.startAsFollower();
    getStatus()
        .assertIs(
            200,
            "{\"node\":\"n-0\",\"leading\":false,\"leader\":\"n-1\",\"term\":0,"
                + "\"state_serves\":true}");
  }

  @Test
  void statusWithoutKnownLeaderNamesNone() {
    controller.state.unreachable = true;
    controller.start();
    getStatus()
        .assertIs(
            200,
            "{\"node\":\"n-0\",\"leading\":false,\"leader\":null,\"term\":0,"
                + "\"state_serves\":false}");
  }

  @Test
  void statusOfLeaderCountsJobsAndMachines() {
    controller.state.put("t/term", jsonObject("{\"Node\":\"n-0\",\"Life\":\"0f\",\"Term\":6}"));
    controller.state.put("r/0", jsonObject("{\"host-7\":{\"At\":1000000}}"));
    controller.startAsLeader();
    controller.addWorker("host-1", "10.1.0.1:9000").sendHeartbeat();
    controller.submit("{}");
    controller.submit("{\"Uid\":\"wk-2\"}");
    controller.submit("{\"Uid\":\"wk-3\",\"Awaits\":[\"wk-2\"]}");
    controller.loop.advance(0.1);
    getStatus()
        .assertIs(
            200,
            "{\"node\":\"n-0\",\"leading\":true,\"leader\":\"n-0\",\"term\":7,"
                + "\"state_serves\":true,\"open_jobs\":3,\"machines\":2,"
                + "\"machines_unaccounted\":1,\"jobs_waiting_for_others\":1}");
  }

  // Settings

  @Test
  void settingsNeverStoredAreDefaults() {
    controller.startAsFollower();
    controller
        .requestAsOperator("GET", "/admin/settings", null)
        .assertIs(200, versionedSettings(0, DEFAULT_SETTINGS));
  }

  /**
   * A field that is left out has its default, not the value that was stored before. Any controller
   * shows the stored settings, whether or not it leads.
   */
  @Test
  void changedSettingsAreShownWithTheirVersion() {
    controller.startAsFollower();
    String changed =
        "{\"period_s\":2.5,\"eviction_probability\":0.1,\"gpu_weight\":4.0,"
            + "\"memory_weight\":0.25,\"team_weights\":{\"blue\":2.0,\"red\":3.0}}";
    putSettings(
            "{\"version\":0,\"settings\":{\"period_s\":2.5,\"gpu_weight\":4,\"memory_weight\":0.25,"
                + "\"team_weights\":{\"red\":3,\"blue\":2}}}")
        .assertIs(200, versionedSettings(3, changed));
    controller
        .requestAsOperator("GET", "/admin/settings", null)
        .assertIs(200, versionedSettings(3, changed));
    putSettings(versionedSettings(3, "{\"eviction_probability\":1}"))
        .assertIs(200, versionedSettings(4, DEFAULT_SETTINGS.replace("0.1", "1.0")));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 2, 4})
  void settingsWithOtherVersionAreRejected(long version) {
    controller.startAsFollower();
    putSettings(versionedSettings(0, "{}")).assertIs(200, versionedSettings(3, DEFAULT_SETTINGS));
    putSettings(versionedSettings(version, "{}"))
        .assertIs(
            409,
            errorBody(
                "version "
                    + version
                    + " is not the current version of the settings:"
                    + " read the settings again and repeat the change"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "`` | body | must be an object",
        "{ | body | must be an object",
        "[] | body | must be an object",
        "{} | version | must be a number",
        "{\"version\":\"0\"} | version | must be a number",
        "{\"version\":-1} | version | must be from 0.0 to 9.223372036854776E18",
        "{\"version\":0.5} | version | must be an integer",
        "{\"version\":0} | settings | must be an object",
        "{\"version\":0,\"settings\":[]} | settings | must be an object",
        "{\"version\":0,\"settings\":{\"speed\":1}} | speed |"
            + " is not a setting: expected one of [eviction_probability, gpu_weight,"
            + " memory_weight, period_s, team_weights]"
      })
  void settingsInInvalidBodyAreRejectedNamingTheField(String body, String field, String problem) {
    controller.startAsFollower();
    putSettings(body).assertIs(400, fieldError(field, problem));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "period_s | \"x\" | period_s | must be a number",
        "period_s | 0 | period_s | must be from 0.1 to 3600.0",
        "eviction_probability | 1.5 | eviction_probability | must be from 0.0 to 1.0",
        "gpu_weight | -1 | gpu_weight | must be from 0.0 to 1000000.0",
        "memory_weight | -1 | memory_weight | must be from 0.0 to 1000000.0",
        "team_weights | 7 | team_weights | must be an object",
        "team_weights | {\"green\":1} | team_weights.green |"
            + " is not a team: expected one of [blue, red, tight]",
        "team_weights | {\"red\":0} | team_weights.red | must be from 0.001 to 1000000.0",
        "team_weights | {\"red\":\"1\"} | team_weights.red | must be a number"
      })
  void settingsWithInvalidFieldAreRejectedNamingTheField(
      String setting, String value, String field, String problem) {
    controller.startAsFollower();
    putSettings(versionedSettings(0, "{\"" + setting + "\":" + value + "}"))
        .assertIs(400, fieldError(field, problem));
  }

  private static String fieldError(String field, String problem) {
    return jsonObject("{}").put("error", field + ": " + problem).put("field", field).toString();
  }

  @Test
  void invalidStoredSettingsAreServerError() {
    controller.state.put("o/settings", jsonObject("{\"speed\":1}"));
    controller.startAsFollower();
    controller
        .requestAsOperator("GET", "/admin/settings", null)
        .assertIs(
            500,
            errorBody(
                "stored settings are invalid: speed: is not a setting: expected one of"
                    + " [eviction_probability, gpu_weight, memory_weight, period_s,"
                    + " team_weights]"));
  }

  @Test
  void settingsDuringStateServiceOutageAreRejectedWithRetryAfter() {
    controller.startAsFollower();
    controller.state.unavailableFor = (method, path) -> true;
    controller
        .requestAsOperator("GET", "/admin/settings", null)
        .assertRetryLater(503, STATE_SERVICE_UNAVAILABLE);
    putSettings(versionedSettings(0, "{}")).assertRetryLater(503, STATE_SERVICE_UNAVAILABLE);
  }

  // Paths and methods

  @ParameterizedTest
  @CsvSource({
    "POST, /admin/settings, method POST not allowed for /admin/settings: expected GET or PUT",
    "DELETE, /admin/settings, method DELETE not allowed for /admin/settings: expected GET or PUT",
    "POST, /admin/status, method POST not allowed for /admin/status: expected GET",
    "POST, /metrics, method POST not allowed for /metrics: expected GET"
  })
  void knownPathWithWrongMethodIsNotAllowed(String method, String path, String problem) {
    controller.startAsFollower();
    controller.requestAsOperator(method, path, null).assertIs(405, errorBody(problem));
  }

  @ParameterizedTest
  @ValueSource(strings = {"/", "/admin", "/admin/", "/admin/status/x", "/metrics/", "/healthz"})
  void pathOutsideOperatorApiIsNotFound(String path) {
    controller.startAsFollower();
    controller
        .requestAsOperator("GET", path, null)
        .assertIs(404, errorBody("no such path: " + path));
  }

  // Metrics

  /** Names, labels and types of metrics do not depend on who leads and what was counted. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void metricNamesLabelsAndTypesAreFixed(boolean leads) {
    if (leads) {
      controller.startAsLeader();
      controller.launchTask("{}", "running");
    } else {
      controller.startAsFollower();
    }
    ControllerResponse response = controller.requestAsOperator("GET", "/metrics", null);
    assertEquals(
        "200 text/plain; version=0.0.4; charset=utf-8 0",
        response.status() + " " + response.contentType() + " " + response.retryAfterS());
    assertEquals(
        String.join("\n", new TreeSet<>(resource("metrics.txt").lines().toList())),
        String.join("\n", new TreeSet<>(withoutSampleValues(response.bodyText()))));
  }

  private static List<String> withoutSampleValues(String metrics) {
    return metrics
        .lines()
        .map(line -> line.startsWith("#") ? line.strip() : line.substring(0, line.lastIndexOf(' ')))
        .toList();
  }

  @Test
  void metricsOfLeaderCountEvents() {
    controller.startAsLeader();
    controller.launchTask("{}", "running");
    // Passes enough time for a full scheduling cycle to see the task run.
    controller.loop.advance(2);
    List<String> lines =
        controller.requestAsOperator("GET", "/metrics", null).bodyText().lines().toList();
    for (String line : resource("metrics-of-a-leader.txt").lines().toList()) {
      assertEquals(1, lines.stream().filter(line::equals).count(), line);
    }
  }
}
