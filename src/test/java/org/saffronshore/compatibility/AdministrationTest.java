package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.compatibility.Messages.error;
import static org.saffronshore.compatibility.Messages.json;
import static org.saffronshore.compatibility.Messages.resource;

import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.compatibility.ControllerHarness.Said;

/** What operators ask on the peers' address, and the answers. */
class AdministrationTest {
  private static final String START =
      "{\"period_s\":5.0,\"eviction_probability\":0.1,\"gpu_weight\":1.0,\"memory_weight\":0.0,"
          + "\"team_weights\":{}}";
  private static final String SILENT = "the state service does not answer";

  private final ControllerHarness controller = new ControllerHarness();

  private static String settings(long version, String settings) {
    return "{\"version\":" + version + ",\"settings\":" + settings + "}";
  }

  private Said put(String body) {
    return controller.administer("PUT", "/admin/settings", body);
  }

  private Said status() {
    return controller.administer("GET", "/admin/status", null);
  }

  // Status

  @Test
  void statusOfAFollowerHasNothingOfTheLeaders() {
    controller.follow();
    status()
        .is(
            200,
            "{\"node\":\"n-0\",\"leading\":false,\"leader\":\"n-1\",\"term\":0,"
                + "\"state_serves\":true}");
  }

  @Test
  void statusWhileNobodyIsKnownToLeadSaysSo() {
    controller.state.unreachable = true;
    controller.start();
    status()
        .is(
            200,
            "{\"node\":\"n-0\",\"leading\":false,\"leader\":null,\"term\":0,"
                + "\"state_serves\":false}");
  }

  @Test
  void statusOfALeaderHasHowMuchThereIs() {
    controller.state.put("t/term", json("{\"Node\":\"n-0\",\"Life\":\"0f\",\"Term\":6}"));
    controller.state.put("r/0", json("{\"host-7\":{\"At\":1000000}}"));
    controller.lead();
    controller.worker("host-1", "10.1.0.1:9000").reports();
    controller.submit("{}");
    controller.submit("{\"Uid\":\"wk-2\"}");
    controller.submit("{\"Uid\":\"wk-3\",\"Awaits\":[\"wk-2\"]}");
    controller.loop.advance(0.1);
    status()
        .is(
            200,
            "{\"node\":\"n-0\",\"leading\":true,\"leader\":\"n-0\",\"term\":7,"
                + "\"state_serves\":true,\"open_jobs\":3,\"machines\":2,"
                + "\"machines_unaccounted\":1,\"jobs_waiting_for_others\":1}");
  }

  // Settings

  @Test
  void settingsThatWereNeverSetAreTheFirst() {
    controller.follow();
    controller.administer("GET", "/admin/settings", null).is(200, settings(0, START));
  }

  /** What is left out keeps its first value; what was stored is shown by every controller. */
  @Test
  void settingsThatWereChangedAreShownWithTheirVersion() {
    controller.follow();
    String changed =
        "{\"period_s\":2.5,\"eviction_probability\":0.1,\"gpu_weight\":4.0,"
            + "\"memory_weight\":0.25,\"team_weights\":{\"blue\":2.0,\"red\":3.0}}";
    put("{\"version\":0,\"settings\":{\"period_s\":2.5,\"gpu_weight\":4,\"memory_weight\":0.25,"
            + "\"team_weights\":{\"red\":3,\"blue\":2}}}")
        .is(200, settings(3, changed));
    controller.administer("GET", "/admin/settings", null).is(200, settings(3, changed));
    put(settings(3, "{\"eviction_probability\":1}"))
        .is(200, settings(4, START.replace("0.1", "1.0")));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 2, 4})
  void settingsOfAnotherVersionAreRefused(long version) {
    controller.follow();
    put(settings(0, "{}")).is(200, settings(3, START));
    put(settings(version, "{}"))
        .is(409, error("the settings have another version by now: read them again"));
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
        "{\"version\":0.5} | version | must be a whole number",
        "{\"version\":0} | settings | must be an object",
        "{\"version\":0,\"settings\":[]} | settings | must be an object",
        "{\"version\":0,\"settings\":{\"speed\":1}} | speed | is not a setting"
      })
  void settingsInAnInvalidBodyAreRefusedWithTheField(String body, String field, String problem) {
    controller.follow();
    put(body).is(400, refusal(field, problem));
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
        "team_weights | {\"green\":1} | team_weights.green | is not a team",
        "team_weights | {\"red\":0} | team_weights.red | must be from 0.001 to 1000000.0",
        "team_weights | {\"red\":\"1\"} | team_weights.red | must be a number"
      })
  void settingsWithAnInvalidFieldAreRefusedWithIt(
      String setting, String value, String field, String problem) {
    controller.follow();
    put(settings(0, "{\"" + setting + "\":" + value + "}")).is(400, refusal(field, problem));
  }

  private static String refusal(String field, String problem) {
    return json("{}").put("error", field + ": " + problem).put("field", field).toString();
  }

  @Test
  void settingsThatAreStoredInvalidAreAnError() {
    controller.state.put("o/settings", json("{\"speed\":1}"));
    controller.follow();
    controller
        .administer("GET", "/admin/settings", null)
        .is(500, error("stored settings: speed: is not a setting"));
  }

  @Test
  void settingsWithoutTheStateServiceAreRefusedForNow() {
    controller.follow();
    controller.state.unavailableFor = (method, path) -> true;
    controller.administer("GET", "/admin/settings", null).isLater(503, SILENT);
    put(settings(0, "{}")).isLater(503, SILENT);
  }

  // Paths and methods

  @ParameterizedTest
  @CsvSource({
    "POST, /admin/settings, GET or PUT",
    "DELETE, /admin/settings, GET or PUT",
    "POST, /admin/status, GET only",
    "POST, /metrics, GET only"
  })
  void aPathWithAnotherMethodIsNotAllowed(String method, String path, String problem) {
    controller.follow();
    controller.administer(method, path, null).is(405, error(problem));
  }

  @ParameterizedTest
  @ValueSource(strings = {"/", "/admin", "/admin/", "/admin/status/x", "/metrics/", "/healthz"})
  void aPathThatIsNotOfOperatorsIsNotFound(String path) {
    controller.follow();
    controller.administer("GET", path, null).is(404, error("no such path"));
  }

  // Metrics

  /** Names, tags and types stay the same, whoever leads and whatever was counted. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void metricsHaveTheirNamesTagsAndTypes(boolean leads) {
    if (leads) {
      controller.lead();
      controller.launchTask("{}", "running");
    } else {
      controller.follow();
    }
    Said said = controller.administer("GET", "/metrics", null);
    assertEquals(
        "200 text/plain; version=0.0.4; charset=utf-8 0",
        said.status() + " " + said.type() + " " + said.retryAfterS());
    assertEquals(
        String.join("\n", new TreeSet<>(resource("metrics.txt").lines().toList())),
        String.join("\n", new TreeSet<>(series(said.text()))));
  }

  private static List<String> series(String metrics) {
    return metrics
        .lines()
        .map(line -> line.startsWith("#") ? line.strip() : line.substring(0, line.lastIndexOf(' ')))
        .toList();
  }

  @Test
  void metricsOfALeaderCountWhatHappens() {
    controller.lead();
    controller.launchTask("{}", "running");
    // Until a full cycle has seen the task run.
    controller.loop.advance(2);
    List<String> lines = controller.administer("GET", "/metrics", null).text().lines().toList();
    for (String line : resource("metrics-of-a-leader.txt").lines().toList()) {
      assertEquals(1, lines.stream().filter(line::equals).count(), line);
    }
  }
}
