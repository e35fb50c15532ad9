package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.parseJson;
import static org.saffronshore.compatibility.MessageBodies.resource;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.config.Settings;

/** Tests which fields of the platform's settings file are read, and errors for invalid ones. */
class SettingsFileTest {
  private final ObjectNode settings = jsonObject(resource("settings.json"));

  private static void assertRejected(String problem, JsonNode settings) {
    assertEquals(
        problem, assertThrows(Exception.class, () -> Settings.parse(settings)).getMessage());
  }

  @Test
  void sampleFileIsAccepted() {
    assertDoesNotThrow(() -> Settings.parse(settings));
  }

  @ParameterizedTest
  @ValueSource(strings = {"[]", "7", "null"})
  void fileThatIsNotAnObjectIsRejected(String file) {
    assertRejected("body: must be an object", parseJson(file));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "node | must be a non-empty string",
        "serve_on | must be a non-empty string",
        "peer_bind | must be a non-empty string",
        "peers | must be a list",
        "peers/0/node | must be a non-empty string",
        "peers/0/addr | must be a non-empty string",
        "services | must be an object",
        "services/cloud | must be a non-empty string",
        "services/state | must be a non-empty string",
        "cluster | must be an object",
        "cluster/teams | must be a list",
        "cluster/teams/0/name | must be a non-empty string",
        "cluster/objectives/0/kind | must be a non-empty string",
        "cluster/workers | must be an object",
        "cluster/workers/report_s | must be a number",
        "cluster/workers/lease_s | must be a number",
        "cluster/workers/cancel_s | must be a number",
        "cluster/state | must be an object",
        "cluster/state/rps | must be a number",
        "cluster/state/write_rps | must be a number",
        "cluster/state/value_kb | must be a number",
        "cluster/state/txn_ops | must be a number",
        "cluster/cloud | must be an object",
        "cluster/cloud/rps | must be a number",
        "cluster/cloud/list_lag_s | must be a number",
        "cluster/limits | must be an object"
      })
  void missingRequiredFieldIsRejected(String path, String problem) {
    MessageBodies.changeField(settings, "/" + path, null);
    assertRejected(fieldName(path) + ": " + problem, settings);
  }

  /** Returns the name of a field in error messages, such as {@code peers[0].node}. */
  private static String fieldName(String path) {
    return path.replaceAll("/(\\d+)", "[$1]").replace('/', '.');
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "area",
        "peers/0/area",
        "cluster/zones",
        "cluster/teams/0/cpus",
        "cluster/teams/0/cpus_max",
        "cluster/teams/0/gpus",
        "cluster/teams/0/gpus_max",
        "cluster/objectives",
        "cluster/objectives/0/class",
        "cluster/objectives/0/share",
        "cluster/objectives/0/times",
        "cluster/objectives/0/within_s",
        "cluster/state/next",
        "cluster/state/next/rps",
        "cluster/state/next/write_rps",
        "cluster/state/next/value_kb",
        "cluster/state/next/txn_ops",
        "cluster/limits/core_share",
        "cluster/limits/memory_mb",
        "cluster/limits/sockets",
        "cluster/clock_off_ms"
      })
  void optionalFieldMayBeNullOrMissing(String path) {
    MessageBodies.changeField(settings, "/" + path, "null");
    assertDoesNotThrow(() -> Settings.parse(settings));
    MessageBodies.changeField(settings, "/" + path, null);
    assertDoesNotThrow(() -> Settings.parse(settings));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "node | 3 | must be a non-empty string",
        "area | 3 | must be a non-empty string",
        "serve_on | \"nowhere\" | must be host:port with a port from 0 to 65535",
        "peer_bind | \"10.0.0.1:65536\" | must be host:port with a port from 0 to 65535",
        "peers | [7] | must be an object",
        "peers/0/area | 3 | must be a non-empty string",
        "peers/0/addr | \"10.0.0.2\" | must be host:port with a port from 0 to 65535",
        "services/cloud | \":80\" | must be host:port with a port from 0 to 65535",
        "services/state | \"10.0.0.1:x\" | must be host:port with a port from 0 to 65535",
        "cluster/zones | \"a\" | must be a list of strings or null",
        "cluster/zones | [1] | must be a list of strings or null",
        "cluster/teams/0/cpus | \"1\" | must be a number",
        "cluster/teams/0/cpus | -1 | must be from 0.0 to 1.0E9",
        "cluster/teams/0/cpus_max | -1 | must be from 0.0 to 1.0E9",
        "cluster/teams/0/gpus | -1 | must be from 0.0 to 1.0E9",
        "cluster/teams/0/gpus_max | -1 | must be from 0.0 to 1.0E9",
        "cluster/teams/1/name | \"red\" | must be unique, but \"red\" is the name of an earlier team",
        "cluster/objectives | 7 | must be a list",
        "cluster/objectives/0/class | 3 | must be a non-empty string",
        "cluster/objectives/0/share | 2 | must be from 0.0 to 1.0",
        "cluster/objectives/0/times | -1 | must be from 0.0 to 1.0E9",
        "cluster/objectives/0/within_s | -1 | must be from 0.0 to 1.0E9",
        "cluster/workers/report_s | 0 | must be from 0.01 to 1.0E9",
        "cluster/workers/lease_s | 0 | must be from 0.1 to 1.0E9",
        "cluster/workers/cancel_s | 0 | must be from 0.1 to 1.0E9",
        "cluster/state/rps | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/write_rps | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/value_kb | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/txn_ops | 1 | must be from 2.0 to 1000000.0",
        "cluster/state/txn_ops | 2.5 | must be an integer",
        "cluster/state/next | 7 | must be an object",
        "cluster/state/next/rps | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/next/write_rps | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/next/value_kb | 0 | must be from 1.0 to 1.0E9",
        "cluster/state/next/txn_ops | 1 | must be from 2.0 to 1000000.0",
        "cluster/cloud/rps | 0 | must be from 0.01 to 1.0E9",
        "cluster/cloud/list_lag_s | -1 | must be from 0.0 to 1.0E9",
        "cluster/limits/core_share | 0 | must be from 0.001 to 1.0E9",
        "cluster/limits/memory_mb | 0 | must be from 1.0 to 1.0E9",
        "cluster/limits/sockets | 15 | must be from 16.0 to 1.0E9",
        "cluster/clock_off_ms | -1 | must be from 0.0 to 1.0E9"
      })
  void invalidFieldIsRejectedNamingTheField(String path, String invalidValue, String problem) {
    MessageBodies.changeField(settings, "/" + path, invalidValue);
    String field = path.equals("peers") ? "peers[0]" : fieldName(path);
    assertRejected(field + ": " + problem, settings);
  }
}
