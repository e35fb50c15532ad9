package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/** Jobs with dependencies, from their submission to the last outcome. */
class ChainedJobsTest extends ControllerTestBase {
  private void submitChain() {
    submit(job("wk-1", 2));
    submit(job("wk-2", 2).withDependencies(List.of("wk-1")));
    submit(job("wk-3", 1).withDependencies(List.of("wk-2", "wk-1")));
  }

  private List<String> startedTasksOf(String job) {
    return startedTasks.stream().filter(task -> task.startsWith(job + "/")).toList();
  }

  /**
   * Each job waits for its dependencies, also if the leader changes between the outcome of a
   * dependency and the start of the dependent job.
   */
  @ParameterizedTest
  @CsvSource({"1000", "10", "26", "31", "52"})
  void chainRunsInOrderAcrossAChangeOfLeader(double newLeaderAfterS) throws InvalidFieldException {
    submitChain();
    loop.advance(Math.min(newLeaderAfterS, 20));
    assertEquals(List.of(), startedTasksOf("wk-2"));
    assertEquals("pending", status("wk-2"));
    for (double elapsedS = 20; elapsedS < 200; elapsedS++) {
      if (Math.abs(elapsedS - Math.max(20, newLeaderAfterS)) < 0.5) {
        process.crashed = true;
        process = new ControllerProcess("n-0");
      }
      loop.advance(1);
      for (int n = 2; n <= 3; n++) {
        assertTrue(
            startedTasksOf("wk-" + n).isEmpty() || state.value("f/wk-" + (n - 1)) != null,
            startedTasks.toString());
      }
    }
    assertEquals("done", status("wk-3"));
    assertEquals(5, startedTasks.size(), startedTasks.toString());
  }

  /**
   * Jobs that depend on a cancelled job are reported as cancelled at once. Their own outcomes are
   * written later, and none of them starts.
   */
  @Test
  void cancellationExtendsToAllDependentJobs() {
    submitChain();
    loop.advance(10);
    assertEquals(
        "aborted", process.request("POST", "/work/wk-1/cancel", null, 200).get("Status").asText());
    assertEquals("aborted", status("wk-3"));
    assertEquals(
        "aborted",
        process
            .request(
                "POST", "/work", job("wk-4", 1).withDependencies(List.of("wk-3")).toJson(), 201)
            .get("Status")
            .asText(),
        "a job that depends on a cancelled job is accepted");
    loop.advance(10);
    for (int n = 1; n <= 4; n++) {
      assertEquals("aborted", state.value("f/wk-" + n).get("State").asText());
      assertTrue(state.value("j/wk-" + n) == null);
    }
    assertEquals(List.of("wk-1/0", "wk-1/1"), startedTasks);
  }

  /** What happens to the transaction that commits the outcome of a job. */
  private enum CommitFault {
    RESPONSE_LOST,
    EXECUTION_DELAYED
  }

  /**
   * The transaction with the outcome of a job times out: its response is lost, or it is executed
   * late. Dependent jobs must not start before the outcome is known to be committed.
   */
  @ParameterizedTest
  @EnumSource
  void dependentJobWaitsUntilTheOutcomeIsKnownToBeCommitted(CommitFault fault) {
    submitChain();
    loop.advance(20);
    if (fault == CommitFault.RESPONSE_LOST) {
      state.responseLost = (method, path) -> path.equals("/commit");
    } else {
      state.executionDelayed = (method, path) -> path.equals("/commit");
    }
    loop.advance(15);
    assertEquals(2, completedTasks.size());
    state.responseLost = (method, path) -> false;
    state.executionDelayed = (method, path) -> false;
    assertEquals(fault == CommitFault.EXECUTION_DELAYED, state.value("f/wk-1") == null);
    assertTrue(fault == CommitFault.RESPONSE_LOST || startedTasksOf("wk-2").isEmpty());
    state.executeDelayedRequests();
    loop.advance(100);
    assertEquals("done", status("wk-3"));
  }

  @ParameterizedTest
  @CsvSource({
    "null, 201",
    "[], 201",
    "[~wk-1~], 201",
    "[~wk-1~ ~wk-1~], 201",
    "[~wk-9~], 422",
    "[~wk-1~ ~wk-9~], 422",
    "[~wk-2~], 400",
    "[~wk-1~ ~wk-2~], 400",
    "~wk-1~, 400",
    "[~nonsense~], 400",
    "[~~], 400",
    "[7], 400",
    "[null], 400",
    "{}, 400"
  })
  void submissionChecksTheFormAndExistenceOfDependencies(String dependencies, int expectedStatus) {
    submit(job("wk-1", 1));
    ObjectNode body = job("wk-2", 1).toJson();
    body.set(
        "Awaits", Json.parse(dependencies.replace('~', '"').replace(' ', ',').getBytes(UTF_8)));
    process.request("POST", "/work", body, expectedStatus);
  }

  /**
   * The number of dependencies is limited by the maximum length of a stored value, under the
   * current and the upcoming limits.
   */
  @ParameterizedTest
  @CsvSource({"16, 16, 1500, 1900", "16, 2, 150, 300", "2, 16, 150, 300"})
  void numberOfDependenciesIsLimitedByTheValueLength(
      int valueKb, int nextValueKb, int acceptedCount, int rejectedCount)
      throws InvalidFieldException {
    process.crashed = true;
    ObjectNode settings = TestData.settingsJson();
    settings.withObject("/cluster/state").put("value_kb", valueKb).put("txn_ops", 2);
    settings.withObject("/cluster/state/next").put("value_kb", nextValueKb);
    process = new ControllerProcess("n-0", false, settings);
    state.txnOpsLimit = 2;
    state.valueBytesLimit = Math.min(valueKb, nextValueKb) * 1024;
    List<String> dependencies = new ArrayList<>();
    for (int n = 1000; n < 1000 + rejectedCount; n++) {
      dependencies.add("wk-" + n);
      state.put("f/wk-" + n, Json.object().put("State", "done"));
    }
    loop.advance(2);
    process.request("POST", "/work", job("wk-1", 1).withDependencies(dependencies).toJson(), 400);
    submit(job("wk-1", 1).withDependencies(dependencies.subList(0, acceptedCount)));
    process.request("POST", "/work", job("wk-1", 1).withDependencies(dependencies).toJson(), 200);
    loop.advance(DEFAULT_RUNTIME_S + 10);
    assertEquals("done", status("wk-1"));
    assertEquals(0, state.invalidTransactions);
  }

  /**
   * A repeated submission returns the status of the accepted job, even if it names other
   * dependencies, including ones with which the job would be rejected.
   */
  @Test
  void repeatedSubmissionReturnsTheStatusWhateverDependenciesItNames() {
    submit(job("wk-1", 1));
    submit(job("wk-2", 1).withDependencies(List.of("wk-1")));
    for (String dependencies : List.of("[\"wk-9\"]", "[\"wk-2\"]", "7", "[]")) {
      ObjectNode body = job("wk-2", 1).toJson();
      body.set("Awaits", Json.parse(dependencies.getBytes(UTF_8)));
      assertEquals("pending", process.request("POST", "/work", body, 200).get("Status").asText());
    }
    loop.advance(20 + 2 * DEFAULT_RUNTIME_S);
    assertEquals(
        "done",
        process
            .request(
                "POST", "/work", job("wk-2", 1).withDependencies(List.of("wk-9")).toJson(), 200)
            .get("Status")
            .asText());
  }

  /**
   * Without the state service it is unknown whether the dependencies exist. The submission is
   * refused at once with status 503 and a time after which to retry.
   */
  @Test
  void submissionIsUnavailableAtOnceWhenDependenciesCannotBeRead() {
    submit(job("wk-1", 1));
    state.unavailableFor = (method, path) -> true;
    double startedAt = loop.now();
    int[] retryAfterS = {0};
    process.controller.handle(
        new Request(
            "POST", "/work", Json.bytes(job("wk-2", 1).withDependencies(List.of("wk-7")).toJson())),
        (code, type, bytes, seconds) -> {
          assertEquals(503, code);
          retryAfterS[0] = seconds;
        });
    loop.advance(0.1);
    assertTrue(retryAfterS[0] >= 1 && loop.now() < startedAt + 0.2);
    state.unavailableFor = (method, path) -> false;
    process.request(
        "POST", "/work", job("wk-2", 1).withDependencies(List.of("wk-7")).toJson(), 422);
  }

  @Test
  void dependenciesMayBelongToOtherTeams() {
    submit(TestData.job("wk-1", "blue", Priority.IDLE, 1, 4));
    submit(job("wk-2", 1).withDependencies(List.of("wk-1")));
    submit(TestData.job("wk-3", "free", Priority.URGENT, 1, 4).withDependencies(List.of("wk-2")));
    loop.advance(20 + 3 * DEFAULT_RUNTIME_S);
    assertEquals("done", status("wk-3"));
    assertEquals(List.of("wk-1/0", "wk-2/0", "wk-3/0"), startedTasks);
  }

  /**
   * Team red has a quota of 64 CPUs. A job that waits for a dependency and a job without
   * dependencies each request all of them.
   */
  @Test
  void jobThatWaitsForDependenciesDoesNotCountAgainstTheQuota() {
    submit(TestData.job("wk-1", "blue", Priority.STANDARD, 1, 4));
    submit(job("wk-2", 16).withDependencies(List.of("wk-1")));
    submit(job("wk-3", 16));
    loop.advance(15);
    assertEquals(16, startedTasksOf("wk-3").size());
    assertEquals(List.of(), startedTasksOf("wk-2"));
  }

  @Test
  void jobMayDependOnJobsThatAreDoneAlready() throws InvalidFieldException {
    submitChain();
    loop.advance(20 + 3 * DEFAULT_RUNTIME_S);
    assertEquals("done", status("wk-3"));
    process.crashed = true;
    process = new ControllerProcess("n-0");
    loop.advance(2);
    submit(job("wk-4", 1).withDependencies(List.of("wk-1", "wk-3")));
    loop.advance(10 + DEFAULT_RUNTIME_S);
    assertEquals("done", status("wk-4"));
  }

  /**
   * The waiting time of a job starts with the last outcome among its dependencies, which the next
   * leader reads. The stored record of the job does not change.
   */
  @Test
  void waitingTimeCountsFromTheLastOutcomeAcrossLeaders() throws InvalidFieldException {
    for (JobSpec job :
        List.of(
            TestData.job("wk-7", "red", Priority.STANDARD, 1, 100),
            TestData.job("wk-2", "red", Priority.STANDARD, 1, 100)
                .withDependencies(List.of("wk-7")))) {
      state.put(
          "j/" + job.id(), Json.object().put("At", loop.wallClockMs()).set("Spec", job.toJson()));
    }
    loop.advance(30);
    JsonNode before = state.value("j/wk-2");
    assertEquals(0, waitedS("wk-2"));
    state.put("f/wk-7", Json.object().put("State", "done").put("At", loop.wallClockMs()));
    state.remove("j/wk-7");
    loop.advance(10);
    assertEquals(10, waitedS("wk-2"), 0.1);
    process.crashed = true;
    process = new ControllerProcess("n-0");
    loop.advance(10);
    assertEquals(20, waitedS("wk-2"), 0.1);
    assertEquals(before, state.value("j/wk-2"), "the deadline counts from the submission");
  }

  private double waitedS(String job) {
    return process.controller.activeLeader().cluster().job(job).waitingTimeS(loop.wallClockMs());
  }
}
