package org.saffronshore.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

class SettingsTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/ | node | 3 | node",
        "/ | serve_on | \"nowhere\" | serve_on",
        "/ | peers | {} | peers",
        "/services | state | \"1.2.3.4:x\" | services.state",
        "/cluster/workers | lease_s | -1 | cluster.workers.lease_s",
        "/cluster/state | txn_ops | 1.5 | cluster.state.txn_ops",
        "/cluster/state | next | 7 | cluster.state.next",
        "/cluster/state | next | {\"value_kb\":0} | cluster.state.next.value_kb",
        "/cluster/state | next | {\"txn_ops\":\"4\"} | cluster.state.next.txn_ops",
        "/cluster | cloud | null | cluster.cloud",
        "/cluster | teams | [{\"name\":\"x\"},{\"name\":\"x\"}] | cluster.teams[1].name"
      })
  void invalidFieldIsNamedInTheException(
      String objectPath, String field, String value, String namedField) {
    ObjectNode root = TestData.settingsJson();
    ObjectNode object = objectPath.equals("/") ? root : (ObjectNode) root.at(objectPath);
    object.set(field, Json.parse(value.getBytes(UTF_8)));
    assertEquals(
        namedField, assertThrows(InvalidFieldException.class, () -> Settings.parse(root)).field());
  }

  @Test
  void unknownFieldsAreIgnoredAndOptionalFieldsMayBeNullOrAbsent() throws InvalidFieldException {
    ObjectNode root = TestData.settingsJson();
    root.putNull("area");
    ((ObjectNode) root.at("/cluster")).remove("objectives");
    Settings settings = Settings.parse(root);
    assertEquals(3, settings.controllerCount());
    assertTrue(settings.objectives().isEmpty());
  }

  /**
   * Each case gives the announced limits, and the expected value size, writes in a transaction,
   * next request rate and next write rate.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "null | 16 8 300 300",
        "{} | 16 8 300 300",
        "{\"value_kb\":2,\"txn_ops\":4,\"write_rps\":35} | 2 4 300 35",
        "{\"value_kb\":32,\"txn_ops\":99,\"rps\":7} | 16 8 7 300"
      })
  void nextSizeLimitsApplyAtOnceIfSmallerWhileNextRatesAreKeptSeparately(
      String next, String expected) throws InvalidFieldException {
    ObjectNode root = TestData.settingsJson();
    root.withObject("/cluster/state").set("next", Json.parse(next.getBytes(UTF_8)));
    Settings settings = Settings.parse(root);
    assertEquals(
        expected,
        (int) settings.maxValueKb()
            + " "
            + settings.maxTransactionWrites()
            + " "
            + (int) settings.nextStateRequestsPerS()
            + " "
            + (int) settings.nextStateWritesPerS());
  }
}
