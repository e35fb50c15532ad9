package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.resource;
import static org.saffronshore.compatibility.MessageBodies.response;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.compatibility.ControllerHarness.FakeWorker;

/** Tests heartbeats of workers, the responses to them, and direct commands to workers. */
class WorkerProtocolTest {
  private static final String NO_COMMANDS = "{\"Baton\":1,\"Calls\":[]}";
  private static final String LAUNCH = "{\"Call\":\"launch\",\"Leg\":\"wk-1/0\",\"Lap\":16777217}";
  private static final String REAP = "{\"Call\":\"reap\",\"Leg\":\"wk-1/0\",\"Lap\":16777217}";

  private final ControllerHarness controller = new ControllerHarness();

  private static String kill(String gracePeriodS) {
    return "{\"Call\":\"kill\",\"Leg\":\"wk-1/0\",\"Lap\":16777217,\"CooldownS\":"
        + gracePeriodS
        + "}";
  }

  /** The body of the response to a heartbeat, with the first fencing token of the term. */
  private static String responseWith(String... commands) {
    return responseWithToken(1, commands);
  }

  private static String responseWithToken(int token, String... commands) {
    return "{\"Baton\":" + token + ",\"Calls\":[" + String.join(",", commands) + "]}";
  }

  /** A message with direct commands to the worker of host-1, as a line. */
  private static String directCommand(int epoch, String... commands) {
    return directCommandWithToken(1, epoch, commands);
  }

  private static String directCommandWithToken(int token, int epoch, String... commands) {
    return "POST 10.1.0.1:9000/do {\"Baton\":"
        + token
        + ",\"Calls\":["
        + String.join(",", commands)
        + "],\"Shift\":"
        + epoch
        + "}";
  }

  // Direct commands

  @Test
  void newMachineIsAskedForItsStatusByEmptyCommand() {
    controller.startAsLeader();
    controller.addWorker("host-1", "10.1.0.1:9000").sendHeartbeat().assertIs(200, NO_COMMANDS);
    controller.loop.advance(1);
    assertEquals(List.of(directCommand(1)), controller.requestsTo("/do"));
  }

  @Test
  void placedTaskIsLaunchedByDirectCommand() {
    controller.startAsLeader();
    controller.launchTask("{}", "running");
    assertEquals(List.of(directCommand(1), directCommand(1, LAUNCH)), controller.requestsTo("/do"));
  }

  @Test
  void taskOfCancelledJobIsKilledByDirectCommand() {
    controller.startAsLeader();
    controller.launchTask("{}", "running");
    controller.sentRequests.clear();
    assertEquals(200, controller.request("POST", "/work/wk-1/cancel", null).status());
    controller.loop.advance(1);
    assertEquals(List.of(directCommandWithToken(2, 1, kill("0.0"))), controller.requestsTo("/do"));
  }

  /** A machine of an earlier leader is found at the address that the cloud lists. */
  @Test
  void registeredMachineNotHeardFromIsAskedForItsStatus() {
    controller.state.put("r/0", jsonObject("{\"host-1\":{\"At\":1000000}}"));
    controller.addWorker("host-1", "10.1.0.1:9000");
    controller.startAsLeader();
    assertEquals(List.of(directCommand(1)), controller.requestsTo("/do"));
  }

  @Test
  void commandRejectedForItsEpochIsRepeatedWithWorkersEpoch() {
    controller.state.put("r/0", jsonObject("{\"host-1\":{\"At\":1000000}}"));
    controller.addWorker("host-1", "10.1.0.1:9000").epoch = 5;
    controller.startAsLeader();
    assertEquals(List.of(directCommand(1), directCommand(5)), controller.requestsTo("/do"));
  }

  // Responses to heartbeats

  @Test
  void responseToHeartbeatOfIdleMachineHasNoCommands() {
    controller.startAsLeader();
    FakeWorker worker = controller.addWorker("host-1", "10.1.0.1:9000");
    for (int i = 0; i < 3; i++) {
      worker.sendHeartbeat().assertIs(200, NO_COMMANDS);
    }
  }

  @Test
  void responseToHeartbeatOfMachineUnreachableByCommandsHasLaunch() {
    controller.startAsLeader();
    FakeWorker worker = controller.addWorker("host-1", "10.1.0.1:9000");
    worker.reachable = false;
    worker.sendHeartbeat().assertIs(200, NO_COMMANDS);
    worker.sendHeartbeat().assertIs(200, NO_COMMANDS);
    controller.loop.advance(1);
    controller.submit("{}");
    controller.loop.advance(1);
    worker.sendHeartbeat().assertIs(200, responseWith(LAUNCH));
    worker.sendHeartbeat().assertIs(200, responseWithToken(2));
  }

  /**
   * The cloud is going to take the machine back. A task that cannot finish in time is killed. Its
   * grace period is its checkpoint duration, 5 s, plus a heartbeat interval, 3 s.
   */
  @ParameterizedTest
  @CsvSource({", 0", "100, 0", "10, 1"})
  void responseToPreemptionNoticeKillsTaskThatCannotFinish(Integer noticeS, int kills) {
    controller.startAsLeader();
    FakeWorker worker = controller.launchTask("{\"WaypointS\":5,\"StashS\":5}", "running");
    worker.preemptionNoticeS = noticeS;
    worker
        .sendHeartbeat()
        .assertIs(200, kills == 0 ? responseWithToken(2) : responseWithToken(2, kill("8.0")));
  }

  @Test
  void responseToHeartbeatWithStoppedTaskHasReap() {
    controller.startAsLeader();
    FakeWorker worker = controller.launchTask("{}", "running");
    worker.endTask("wk-1/0", "halted");
    worker.sendHeartbeat().assertIs(200, responseWithToken(2, REAP));
    assertEquals(0, worker.tasks.size());
    worker.sendHeartbeat().assertIs(200, responseWithToken(2));
  }

  @Test
  void responseToHeartbeatWithCompletedTaskHasReapOnceCompletionIsStored() {
    controller.startAsLeader();
    FakeWorker worker = controller.launchTask("{}", "running");
    worker.endTask("wk-1/0", "done");
    worker.sendHeartbeat().assertIs(200, responseWithToken(2));
    controller.loop.advance(1);
    worker.sendHeartbeat().assertIs(200, responseWithToken(2, REAP));
    worker.sendHeartbeat().assertIs(200, responseWithToken(2));
  }

  @Test
  void responseToHeartbeatWithTaskOfUnknownJobHasKill() {
    controller.startAsLeader();
    FakeWorker worker = controller.addWorker("host-1", "10.1.0.1:9000");
    worker.fencingToken = 1;
    worker.tasks.put(
        "wk-9/3",
        jsonObject("{\"Leg\":\"wk-9/3\",\"Lap\":7,\"Status\":\"running\",\"Cause\":null}"));
    worker
        .sendHeartbeat()
        .assertIs(
            200,
            responseWith("{\"Call\":\"kill\",\"Leg\":\"wk-9/3\",\"Lap\":7,\"CooldownS\":0.0}"));
  }

  // Task states in heartbeats

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "fetching | {\"Uid\":\"wk-1\",\"Status\":\"pending\",\"done\":0,\"running\":0}",
        "running | {\"Uid\":\"wk-1\",\"Status\":\"running\",\"done\":0,\"running\":1}",
        "flushing | {\"Uid\":\"wk-1\",\"Status\":\"running\",\"done\":0,\"running\":1}"
      })
  void reportedTaskStateDeterminesJobStatus(String taskState, String jobStatus) {
    controller.startAsLeader();
    controller.launchTask("{}", taskState);
    controller.request("GET", "/work/wk-1", null).assertIs(200, jobStatus);
  }

  @Test
  void completedTaskIsNotRelaunched() {
    controller.startAsLeader();
    FakeWorker worker = controller.launchTask("{}", "running");
    worker.endTask("wk-1/0", "done");
    for (int i = 0; i < 10; i++) {
      worker.sendHeartbeatAndWait();
    }
    controller
        .request("GET", "/work/wk-1", null)
        .assertIs(200, "{\"Uid\":\"wk-1\",\"Status\":\"done\"}");
    assertEquals(1, launchCount());
  }

  /**
   * A task that was stopped, or that ended without an exit reason, may be relaunched at once. A
   * task that the machine refused is relaunched after one heartbeat interval (3 s) at the earliest,
   * and a task that failed after two. An exit reason that the controller does not know counts as a
   * failure.
   *
   * @param seconds the time until the relaunch, in heartbeats that are one second apart
   */
  @ParameterizedTest
  @CsvSource({
    "halted, 1",
    ", 1",
    "no_room, 4",
    "in_use, 4",
    "unknown, 4",
    "error, 7",
    "out_of_memory, 7"
  })
  void uncompletedTaskIsRelaunchedAfterDelayOfItsExitReason(String exitReason, int seconds) {
    controller.state.put("o/settings", jsonObject("{\"period_s\":0.5}"));
    controller.startAsLeader();
    controller.loop.advance(6);
    FakeWorker worker = controller.launchTask("{}", "running");
    worker.endTask("wk-1/0", exitReason);
    int passed = 0;
    while (launchCount() < 2 && passed < 20) {
      worker.sendHeartbeatAndWait();
      passed++;
    }
    assertEquals(seconds, passed);
    assertEquals(16777218, worker.tasks.get("wk-1/0").get("Lap").asLong());
  }

  private long launchCount() {
    return controller.requestsTo("/do").stream()
        .filter(line -> line.contains("\"launch\""))
        .count();
  }

  // Heartbeats to a controller that does not lead

  @Test
  void heartbeatToFollowerIsRedirectedToLeader() {
    controller.startAsFollower();
    controller
        .addWorker("host-1", "10.1.0.1:9000")
        .sendHeartbeat()
        .assertIs(421, "{\"Dispatcher\":\"n-1\"}");
  }

  @Test
  void heartbeatWithoutKnownLeaderIsRedirectedToNoController() {
    controller.state.unreachable = true;
    controller.start();
    controller.addWorker("host-1", "10.1.0.1:9000").sendHeartbeat().assertIs(421, "{}");
  }

  @Test
  void heartbeatWithHigherFencingTokenEndsLeadersTerm() {
    controller.startAsLeader();
    FakeWorker worker = controller.addWorker("host-1", "10.1.0.1:9000");
    worker.fencingToken = 2;
    worker.sendHeartbeat().assertIs(421, "{}");
  }

  @Test
  void repeatedHeartbeatToFollowerIsRelayedToLeaderUnchanged() {
    controller.startAsFollower();
    controller.peerResponder =
        request ->
            request.path().equals("/peer/report")
                ? response(200, "{\"Baton\":7,\"Calls\":[],\"as\":\"it is\"}")
                : null;
    String heartbeat = resource("report.json");
    controller.request("POST", "/v1/report", heartbeat).assertIs(421, "{\"Dispatcher\":\"n-1\"}");
    controller
        .request("POST", "/v1/report", heartbeat)
        .assertIs(200, "{\"Baton\":7,\"Calls\":[],\"as\":\"it is\"}");
    assertEquals(
        List.of("POST 10.0.0.2:8081/peer/report " + heartbeat),
        controller.requestsTo("/peer/report"));
  }

  @Test
  void relayedHeartbeatThatLeaderRejectsIsRedirectedToNoController() {
    controller.startAsFollower();
    controller.peerResponder = request -> response(503, errorBody("not the leader"));
    controller.request("POST", "/v1/report", resource("report.json"));
    controller.request("POST", "/v1/report", resource("report.json")).assertIs(421, "{}");
  }

  // Malformed heartbeats

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "Cadre | | Cadre: is missing",
        "Cadre | 7 | Cadre: must be a non-empty string",
        "Address | | Address: is missing",
        "Address | \"\" | Address: must be a non-empty string",
        "Rig | | Rig: is missing",
        "Rig | null | Rig: must be a non-empty string",
        "Depot | | Depot: is missing",
        "Depot | [] | Depot: must be a non-empty string",
        "Loaner | | Loaner: is missing",
        "Loaner | \"yes\" | Loaner: must be true or false",
        "Shift | | Shift: is missing",
        "Shift | -1 | Shift: must be a non-negative integer",
        "Tick | | Tick: is missing",
        "Tick | 1.5 | Tick: must be a non-negative integer",
        "Baton | | Baton: is missing",
        "Baton | \"1\" | Baton: must be a non-negative integer",
        "RecallS | \"soon\" | RecallS: must be a number",
        "Legs | | Legs: is missing",
        "Legs | {} | Legs: must be a list",
        "Legs | [7] | Legs: must be a list of objects",
        "Legs | [{}] | Legs.Leg: is missing",
        "Legs/0/Leg | | Legs.Leg: is missing",
        "Legs/0/Leg | 7 | Leg: must be a non-empty string",
        "Legs/0/Leg | \"wk-9\" | Leg: must have the form wk-000412/3",
        "Legs/0/Leg | \"wk-9/100000\" | Leg: must have the form wk-000412/3",
        "Legs/0/Lap | | Legs.Lap: is missing",
        "Legs/0/Lap | -1 | Lap: must be a non-negative integer",
        "Legs/0/Status | | Legs.Status: is missing",
        "Legs/0/Status | 7 | Status: must be a non-empty string",
        "Legs/0/Status | \"asleep\" | Legs.Status: must be fetching, running, flushing or ended",
        "Legs/0/Cause | 7 | Cause: must be a non-empty string"
      })
  void heartbeatWithInvalidFieldIsRejected(String field, String value, String problem) {
    controller.startAsLeader();
    ObjectNode heartbeat = jsonObject(resource("report.json"));
    MessageBodies.changeField(heartbeat, "/" + field, value);
    controller
        .request("POST", "/v1/report", heartbeat.toString())
        .assertIs(400, errorBody(problem));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "`` | body: must be an object",
        "[] | body: must be an object",
        "{ | body: must be valid JSON",
        "nonsense | body: must be valid JSON"
      })
  void heartbeatThatIsNotAnObjectIsRejected(String body, String problem) {
    controller.startAsLeader();
    controller.request("POST", "/v1/report", body).assertIs(400, errorBody(problem));
  }

  @Test
  void heartbeatFollowedByAnotherValueIsRejected() {
    controller.startAsLeader();
    controller
        .request("POST", "/v1/report", resource("report.json") + "{}")
        .assertIs(400, errorBody("body: must be exactly one JSON value"));
  }

  @Test
  void heartbeatBeyondBodyLimitIsRejected() {
    controller.startAsLeader();
    controller
        .awaitResponse(controller.requestAsync("POST", "/v1/report", null))
        .assertIs(400, errorBody("body: exceeds the maximum body length"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"1.0", "1e0"})
  void heartbeatWithDecimalOrExponentIntegerAndUnknownFieldIsAccepted(String epoch) {
    controller.startAsLeader();
    ObjectNode heartbeat = jsonObject(resource("report.json"));
    heartbeat.putArray("Legs");
    String text = heartbeat.toString().replace("\"Shift\":1", "\"Shift\":" + epoch);
    controller
        .request("POST", "/v1/report", text.replace("{", "{\"Unheard\":{\"of\":[1]},"))
        .assertIs(200, NO_COMMANDS);
  }
}
