package org.saffronshore.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;

class JobSpecTest {

  /**
   * Each case changes one field of a valid submission to a JSON value, and gives the field that the
   * exception must name.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Uid | 7 | Uid", "Uid | \"job-1\" | Uid", "Uid | \"wk-1/2\" | Uid", "Uid | null | Uid",
        "Shape | \"ring\" | Shape", "Urgency | \"soon\" | Urgency", "Legs | 0 | Legs",
            "Legs | -1 | Legs",
        "Legs | 2.5 | Legs", "Legs | 100001 | Legs", "Legs | \"3\" | Legs", "Legs | 1e400 | Legs",
        "Cores | -0.5 | Cores", "RamGb | true | RamGb", "Rigs | \"g8\" | Rigs", "Rigs | [3] | Rigs",
        "SamePlace | 1 | SamePlace", "CutoffS | -3 | CutoffS", "Kit | \"\" | Kit",
            "Crew | null | Crew"
      })
  void invalidFieldIsNamedInTheException(String field, String value, String named) {
    ObjectNode body = TestData.job("wk-1", "red", Priority.URGENT, 3, 2).toJson();
    body.set(field, Json.parse(value.getBytes(UTF_8)));
    assertEquals(
        named, assertThrows(InvalidFieldException.class, () -> JobSpec.parse(body)).field());
  }

  @ParameterizedTest
  @CsvSource({"Rigs", "Depot", "CutoffS"})
  void nullableFieldMayBeNullOrOmitted(String field) throws InvalidFieldException {
    ObjectNode body = TestData.job("wk-1", "red", Priority.IDLE, 3, 2).toJson();
    body.remove(field);
    JobSpec omitted = JobSpec.parse(body);
    body.putNull(field);
    assertEquals(omitted, JobSpec.parse(body));
  }

  @Test
  void writtenJobIsReadBackUnchanged() throws InvalidFieldException {
    JobSpec job = TestData.job("wk-000412", "red", Priority.CRITICAL, 100_000, 2.5);
    assertEquals(job, JobSpec.parse(Json.parse(Json.bytes(job.toJson()))));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"{", "[1] x", "''", "{} {}"})
  void parseReturnsNullUnlessBodyIsExactlyOneJsonValue(String text) {
    assertEquals(null, Json.parse(text.getBytes(UTF_8)));
  }
}
