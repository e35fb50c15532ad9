package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/** The examples in the README work as they are shown. */
class ReadmeTest extends ClusterSimulation {

  /** Returns the request bodies of the curl commands in the README. */
  private static List<JsonNode> exampleBodies() throws IOException {
    Matcher matcher =
        Pattern.compile("curl -d '([^']*)'").matcher(Files.readString(Path.of("README.md")));
    List<JsonNode> found = new ArrayList<>();
    while (matcher.find()) {
      found.add(Json.parse(matcher.group(1).getBytes(UTF_8)));
    }
    return found;
  }

  private String status(String id) {
    return process.request("GET", "/work/" + id, null, 200).get("Status").asText();
  }

  @Test
  void dependentJobsOfTheReadmeRunInOrderAndAreCancelledWithTheirDependency()
      throws IOException, InvalidFieldException {
    ObjectNode settings = TestData.settingsJson();
    settings.withObject("/cluster").putArray("teams").addObject().put("name", "vision");
    process = new ControllerProcess("n-0", false, settings);
    loop.advance(2);
    List<JsonNode> bodies = exampleBodies();
    assertEquals(2, bodies.size());
    bodies.forEach(body -> process.request("POST", "/work", body, 201));
    loop.advance(12);
    assertEquals("running", status("wk-000001"));
    assertEquals("pending", status("wk-000002"));
    loop.advance(2 * DEFAULT_RUNTIME_S + 10);
    assertEquals("done", status("wk-000002"));
    List<JsonNode> renamed = new ArrayList<>();
    bodies.forEach(
        body ->
            renamed.add(
                Json.parse(body.toString().replace("wk-00000", "wk-00001").getBytes(UTF_8))));
    renamed.forEach(body -> process.request("POST", "/work", body, 201));
    assertEquals(
        "aborted",
        process.request("POST", "/work/wk-000011/cancel", null, 200).get("Status").asText());
    assertEquals("aborted", status("wk-000012"));
  }

  /** The settings shown in the README are valid without changes. */
  @Test
  void settingsOfTheReadmeAreValid() throws IOException, InvalidFieldException {
    Matcher matcher =
        Pattern.compile("(?s)\\n    (\\{\"node\".*?\\}\\})\\n\\n")
            .matcher(Files.readString(Path.of("README.md")));
    assertTrue(matcher.find());
    Settings settings = Settings.parse(Json.parse(matcher.group(1).getBytes(UTF_8)));
    assertEquals("n-0", settings.node());
    assertEquals(2, settings.maxValueKb(), "the smaller of the current and the upcoming limit");
  }
}
