package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Address;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Priority;

/**
 * A controller's handling of jobs, from their submission to their outcome, and its responses to
 * users.
 */
class ControllerTest extends ControllerTestBase {
  @Test
  void submittedJobRunsUntilItIsDone() {
    assertEquals(
        "pending",
        process.request("POST", "/work", job("wk-1", 4).toJson(), 201).get("Status").asText());
    process.request("POST", "/work", job("wk-1", 4).toJson(), 200);
    loop.advance(10);
    assertEquals(2, workers.size(), "four tasks need two machines");
    assertEquals("running", status("wk-1"));
    loop.advance(DEFAULT_RUNTIME_S);
    assertEquals("done", status("wk-1"));
    assertEquals(4, startedTasks.size());
    process.request("POST", "/work", job("wk-1", 4).toJson(), 200);
    assertEquals(
        "done", process.request("POST", "/work/wk-1/cancel", null, 200).get("Status").asText());
  }

  /**
   * The leader's process is paused between two commands of one scheduling cycle until its lease has
   * expired. The second command must not be sent.
   */
  @Test
  void pausedLeaderSendsNoFurtherCommandWhenItsLeaseHasExpired() throws InvalidFieldException {
    ObjectNode shortLease = TestData.settingsJson();
    shortLease.withObject("/cluster/workers").put("lease_s", TestData.LEASE_S / 2);
    process.crashed = true;
    process = new ControllerProcess("n-0", true, shortLease);
    loop.advance(2);
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(10 + DEFAULT_RUNTIME_S);
    assertEquals("done", status("wk-1"));
    assertEquals(2, workers.size());
    startedTasks.clear();
    // Longer than the leader's lease lasts, and too short for the machines to count as
    // unresponsive.
    process.pauseAfterNextCommandS = TestData.LEASE_S / 10 + 0.1;
    process.request("POST", "/work", job("wk-2", 4).toJson(), 201);
    loop.advance(0.1);
    loop.advance(0.01);
    assertEquals(
        2,
        startedTasks.size(),
        "only the machine that received its command before the pause starts its tasks");
    loop.advance(DEFAULT_RUNTIME_S * 3);
    assertEquals("done", status("wk-2"), "the controller leads again, in another term");
  }

  @Test
  void cancelledJobIsStoppedAndNotStartedAgain() {
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(10);
    assertEquals(
        "aborted", process.request("POST", "/work/wk-1/cancel", null, 200).get("Status").asText());
    loop.advance(3);
    assertTrue(workers.values().stream().allMatch(worker -> worker.tasks.isEmpty()));
    loop.advance(60);
    assertEquals(4, startedTasks.size());
    assertEquals("aborted", status("wk-1"));
  }

  /**
   * With 1.5 times as many machines as the largest deployment has, every task is placed, stored
   * values and transactions stay within the limits of the state service, commands in flight stay
   * within the socket limit, and the next leader reads all records.
   */
  @Test
  void clusterOfOneAndAHalfTimesTheLargestSizeIsManagedWithinAllLimits()
      throws InvalidFieldException {
    int machines = 1900;
    int jobs = 190;
    ObjectNode large = TestData.settingsJson();
    large.withObject("/cluster/limits").put("sockets", 1500);
    large.withObject("/cluster/teams/0").put("cpus_max", 0);
    process.crashed = true;
    process = new ControllerProcess("n-0", false, large);
    runtimeS = 60;
    loop.advance(2);
    for (int i = 0; i < jobs; i++) {
      process.request("POST", "/work", job("wk-" + i, 2 * machines / jobs).toJson(), 201);
    }
    loop.advance(30);
    assertTrue(workers.size() >= machines, workers.size() + " machines");
    assertEquals(2 * machines, startedTasks.size());
    process.crashed = true;
    process = new ControllerProcess("n-0", false, large);
    loop.advance(15);
    for (int i = 0; i < 10; i++) {
      assertEquals(
          2 * machines / jobs,
          process.request("GET", "/work/wk-" + i, null, 200).get("running").asInt());
    }
    loop.advance(runtimeS + 30);
    for (int i = 0; i < jobs; i++) {
      assertEquals("done", status("wk-" + i));
    }
    assertEquals(2 * machines, startedTasks.size(), "no task may be started twice");
    assertTrue(
        state.longestTransactionBytes < 64 * 1024,
        "a transaction of " + state.longestTransactionBytes + " bytes");
    assertTrue(
        state.longestValueBytes <= 16 * 1024, "a value of " + state.longestValueBytes + " bytes");
    assertTrue(
        state.mostTransactionWrites <= 8, state.mostTransactionWrites + " writes in a transaction");
    assertTrue(maxCommandsInFlight <= 1500 / 8, maxCommandsInFlight + " commands in flight");
  }

  /** The next leader does not start running or finished tasks again. */
  @Test
  void failoverStartsNoTaskTwice() throws InvalidFieldException {
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(12);
    process.request("POST", "/work", job("wk-2", 2).toJson(), 201);
    loop.advance(3);
    process.crashed = true;
    process = new ControllerProcess("n-0");
    loop.advance(DEFAULT_RUNTIME_S * 2);
    assertEquals("done", status("wk-1"));
    assertEquals("done", status("wk-2"));
    assertEquals(
        startedTasks.stream().distinct().count(), startedTasks.size(), startedTasks.toString());
  }

  /**
   * Finished tasks are stored, so they are not run again even if their machine is lost before the
   * failover.
   */
  @Test
  void finishedTasksAreNotRunAgainWhenTheirMachineIsLostBeforeAFailover()
      throws InvalidFieldException {
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(10);
    FakeWorker first = workers.values().iterator().next();
    first.tasks.keySet().forEach(key -> first.endTask(key, "done"));
    loop.advance(5);
    assertEquals(2, process.request("GET", "/work/wk-1", null, 200).get("done").asInt());
    process.crashed = true;
    workers.remove(new Address("10.1.0.0", 9000));
    first.tasks.clear();
    process = new ControllerProcess("n-0");
    loop.advance(DEFAULT_RUNTIME_S + 10);
    assertEquals("done", status("wk-1"));
    assertEquals(4, startedTasks.size(), startedTasks.toString());
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /work/wk-9, 404",
    "GET, /work/nonsense, 404",
    "GET, /work, 405",
    "POST, /healthz, 405",
    "GET, /elsewhere, 404",
    "POST, /work/wk-9/cancel, 404",
    "GET, /work/wk-9/cancel, 405",
    "GET, /healthz, 200",
    "POST, /work, 400",
    "POST, /v1/report, 400",
    "GET, /metrics, 404",
    "GET, /admin/settings, 404"
  })
  void responseStatusFollowsFromPathAndMethod(String method, String path, int status) {
    process.request(method, path, null, status);
  }

  @Test
  void impossibleJobIsRejectedUnlessItWasAcceptedBefore() {
    process.request(
        "POST", "/work", TestData.job("wk-1", "nobody", Priority.IDLE, 1, 1).toJson(), 422);
    process.request(
        "POST", "/work", TestData.job("wk-1", "red", Priority.IDLE, 1, 9).toJson(), 422);
    process.request("POST", "/work", job("wk-1", 1).toJson(), 201);
    process.request(
        "POST", "/work", TestData.job("wk-1", "nobody", Priority.IDLE, 1, 1).toJson(), 200);
    process.request("POST", "/work", job("wk-1", 1).toJson().put("Legs", -1), 200);
  }

  /**
   * The controller rejects a job that the state service cannot store, and no other job. Otherwise
   * the state service would reject all submissions in the same transaction.
   */
  @Test
  void jobThatIsTooLongToBeStoredIsRejectedAsMalformed() {
    process.request(
        "POST", "/work", job("wk-1", 1).toJson().put("Kit", "x".repeat(17 * 1024)), 400);
    process.request(
        "POST", "/work", job("wk-1", 1).toJson().put("Kit", "x".repeat(14 * 1024)), 201);
  }

  @Test
  void userRequestsAreRefusedWhileTheStateServiceIsUnavailable() {
    state.unavailableFor = (method, path) -> true;
    process.request("POST", "/work", job("wk-1", 1).toJson(), 503);
    process.request("GET", "/work/wk-1", null, 503);
    process.request("POST", "/work/wk-1/cancel", null, 503);
    process.request("GET", "/healthz", null, 200);
    state.unavailableFor = (method, path) -> false;
    assertFalse(process.request("POST", "/work", job("wk-1", 1).toJson(), 201).isNull());
  }

  /**
   * A controller that is restarted while the cloud's API is unavailable continues with the rented
   * machines.
   */
  @Test
  void machineTypesAreKnownWhenAControllerStartsWithoutTheCloud() throws InvalidFieldException {
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(10);
    cloudUnavailable = true;
    process.crashed = true;
    process = new ControllerProcess("n-0");
    loop.advance(3);
    process.request("GET", "/healthz", null, 200);
    process.request("POST", "/work", job("wk-2", 1).toJson(), 201);
    loop.advance(DEFAULT_RUNTIME_S * 2);
    assertEquals("done", status("wk-2"));
  }

  /**
   * While the state service is unavailable no task can be launched, so machines become idle
   * although they will be needed again. They are kept, and are returned as usual after the outage.
   */
  @Test
  void idleMachinesAreKeptWhileTheStateServiceIsUnavailable() {
    runtimeS = 70;
    process.request("POST", "/work", job("wk-1", 4).toJson(), 201);
    loop.advance(68);
    assertEquals(4, startedTasks.size());
    state.unavailableFor = (method, path) -> true;
    int machines = workers.size();
    loop.advance(14);
    assertEquals(4, completedTasks.size());
    assertEquals(machines, workers.size());
    state.unavailableFor = (method, path) -> false;
    state.extendLeasesAfterOutage(14);
    loop.advance(120);
    assertEquals("done", status("wk-1"));
    assertTrue(workers.size() < machines, workers.size() + " machines");
  }
}
