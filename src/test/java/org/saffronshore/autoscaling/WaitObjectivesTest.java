package org.saffronshore.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

class WaitObjectivesTest {
  private static ObjectNode objective(String kind, String jobClass, double withinS) {
    return Json.object().put("kind", kind).put("class", jobClass).put("within_s", withinS);
  }

  /**
   * An objective of 60 s with the given kind and class is added between wait objectives of 90 s and
   * 120 s for "class".
   */
  @ParameterizedTest
  @CsvSource({
    "wait, class, 60",
    "wait, other, 90",
    "wait, , 90",
    "stretch, class, 90",
  })
  void shortestWaitIsThatOfTheStrictestWaitObjectiveOfTheClass(
      String kind, String jobClass, double expectedS) throws InvalidFieldException {
    ObjectNode settings = TestData.settingsJson();
    settings
        .withObject("/cluster")
        .putArray("objectives")
        .add(objective("wait", "class", 90))
        .add(objective(kind, jobClass, 60))
        .add(objective("wait", "class", 120));
    WaitObjectives objectives = new WaitObjectives(Settings.parse(settings));
    assertEquals(
        expectedS, objectives.shortestWaitS(TestData.job("wk-1", "red", Priority.URGENT, 1, 4)));
  }

  @ParameterizedTest
  @CsvSource({"class, true", "other, false"})
  void jobHasObjectiveOnlyIfAnObjectiveNamesItsClass(String jobClass, boolean covered)
      throws InvalidFieldException {
    ObjectNode settings = TestData.settingsJson();
    settings.withObject("/cluster").putArray("objectives").add(objective("wait", jobClass, 90));
    WaitObjectives objectives = new WaitObjectives(Settings.parse(settings));
    assertEquals(
        covered, objectives.hasObjectiveFor(TestData.job("wk-1", "red", Priority.URGENT, 1, 4)));
  }
}
