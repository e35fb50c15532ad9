package org.saffronshore.compatibility;

import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jobWith;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.utf8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.compatibility.ControllerHarness.ControllerResponse;
import org.saffronshore.compatibility.ControllerHarness.FakeWorker;

/** Tests requests of users to a controller, and its responses. */
class UserProtocolTest {
  private static final String PENDING =
      "{\"Uid\":\"wk-1\",\"Status\":\"pending\",\"done\":0,\"running\":0}";
  private static final String DONE = "{\"Uid\":\"wk-1\",\"Status\":\"done\"}";
  private static final String ABORTED = "{\"Uid\":\"wk-1\",\"Status\":\"aborted\"}";
  private static final String STATE_SERVICE_UNAVAILABLE =
      "job status unknown: no valid response from the state service";

  private final ControllerHarness controller = new ControllerHarness();

  private ControllerResponse submit(String changes) {
    return controller.request("POST", "/work", jobWith(changes));
  }

  /** Asserts that both a look-up and a repeated submission of the job return this status. */
  private void assertJobStatus(String expected) {
    controller.request("GET", "/work/wk-1", null).assertIs(200, expected);
    submit("{}").assertIs(200, expected);
  }

  // Submissions

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"Urgency\":\"critical\"}",
        "{\"Urgency\":\"urgent\"}",
        "{\"Urgency\":\"idle\"}",
        "{\"Legs\":100000,\"Cores\":0,\"RamGb\":0.5,\"ImageGb\":0}",
        "{\"Legs\":2.0,\"EtaS\":0,\"WaypointS\":60,\"StashS\":5.5}",
        "{\"Accelerators\":1}",
        "{\"Rigs\":[\"small\",\"big\"],\"Depot\":\"b\",\"CutoffS\":90,\"Awaits\":[]}",
        "{\"Rigs\":null,\"Depot\":null,\"CutoffS\":null,\"Awaits\":null}",
        "{\"SamePlace\":true,\"Spread\":true,\"Loaner\":false}",
        "{\"Unheard\":{\"of\":[1]}}"
      })
  void validSubmissionIsAccepted(String changes) {
    controller.startAsLeader();
    submit(changes).assertIs(201, PENDING);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "Uid | | Uid: must be a non-empty string",
        "Uid | 7 | Uid: must be a non-empty string",
        "Uid | \"\" | Uid: must be a non-empty string",
        "Uid | \"job-1\" | Uid: must have the form wk-000412",
        "Uid | \"wk-1234567890123456789\" | Uid: must have the form wk-000412",
        "Shape | | Shape: must be a non-empty string",
        "Shape | \"gang\" | Shape: must be \"array\"",
        "RouteKind | | RouteKind: must be a non-empty string",
        "RouteKind | [] | RouteKind: must be a non-empty string",
        "Crew | | Crew: must be a non-empty string",
        "Crew | null | Crew: must be a non-empty string",
        "Urgency | | Urgency: must be a non-empty string",
        "Urgency | \"high\" | Urgency: must be critical, urgent, standard or idle",
        "Legs | | Legs: must be a number",
        "Legs | \"1\" | Legs: must be a number",
        "Legs | 0 | Legs: must be from 1.0 to 100000.0",
        "Legs | 100001 | Legs: must be from 1.0 to 100000.0",
        "Legs | 1.5 | Legs: must be an integer",
        "Cores | | Cores: must be a number",
        "Cores | -1 | Cores: must be from 0.0 to 1.0E9",
        "Accelerators | | Accelerators: must be a number",
        "Accelerators | -1 | Accelerators: must be from 0.0 to 1.0E9",
        "RamGb | | RamGb: must be a number",
        "RamGb | -0.5 | RamGb: must be from 0.0 to 1.0E9",
        "Kit | | Kit: must be a non-empty string",
        "ImageGb | | ImageGb: must be a number",
        "ImageGb | 2e9 | ImageGb: must be from 0.0 to 1.0E9",
        "Rigs | \"big\" | Rigs: must be a list of strings or null",
        "Rigs | [1] | Rigs: must be a list of strings or null",
        "Depot | 7 | Depot: must be a non-empty string",
        "SamePlace | | SamePlace: must be true or false",
        "SamePlace | 1 | SamePlace: must be true or false",
        "Spread | | Spread: must be true or false",
        "Loaner | | Loaner: must be true or false",
        "EtaS | | EtaS: must be a number",
        "EtaS | -1 | EtaS: must be from 0.0 to 1.0E9",
        "WaypointS | | WaypointS: must be a number",
        "WaypointS | -1 | WaypointS: must be from 0.0 to 1.0E9",
        "StashS | | StashS: must be a number",
        "StashS | -1 | StashS: must be from 0.0 to 1.0E9",
        "CutoffS | \"x\" | CutoffS: must be a number",
        "CutoffS | -1 | CutoffS: must be from 0.0 to 1.0E9",
        "Awaits | \"wk-2\" | Awaits: must be a list of strings or null",
        "Awaits | [2] | Awaits: must be a list of strings or null",
        "Awaits | [\"job-2\"] | Awaits: must be a list of job ids of the form wk-000412",
        "Awaits | [\"wk-1\"] | Awaits: must not name the job itself"
      })
  void submissionWithInvalidFieldIsRejectedNamingTheField(
      String field, String value, String problem) {
    controller.startAsLeader();
    ObjectNode job = jsonObject(jobWith("{}"));
    MessageBodies.changeField(job, "/" + field, value);
    controller.request("POST", "/work", job.toString()).assertIs(400, errorBody(problem));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "`` | body: must be exactly one JSON value within the maximum length",
        "{ | body: must be exactly one JSON value within the maximum length",
        "{} {} | body: must be exactly one JSON value within the maximum length",
        "[] | body: must be an object",
        "7 | body: must be an object",
        "null | body: must be an object",
        "{} | Uid: must be a non-empty string"
      })
  void submissionThatIsNotOneObjectIsRejected(String body, String problem) {
    controller.startAsLeader();
    controller.request("POST", "/work", body).assertIs(400, errorBody(problem));
  }

  @Test
  void submissionBeyondBodyLimitIsRejected() {
    controller.startAsLeader();
    controller
        .awaitResponse(controller.requestAsync("POST", "/work", null))
        .assertIs(400, errorBody("body: must be exactly one JSON value within the maximum length"));
  }

  @Test
  void submissionBeyondStoredValueLimitIsRejected() {
    controller.startAsLeader();
    submit("{\"Kit\":\"" + "x".repeat(17 * 1024) + "\"}")
        .assertIs(400, errorBody("body: must be at most 16256 bytes as a stored job, got 17655"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"Crew\":\"nobody\"} | Crew: must be a configured team, got nobody",
        "{\"Crew\":\"no\\\"body\"} | Crew: must be a configured team, got no\"body",
        "{\"Cores\":9} | a task does not fit on any machine type that the job allows",
        "{\"Crew\":\"tight\",\"Cores\":5} | a task exceeds the quota of its team",
        "{\"Crew\":\"tight\",\"Accelerators\":2} | a task exceeds the quota of its team",
        "{\"Awaits\":[\"wk-9\"]} | Awaits: names a job that was never accepted"
      })
  void submissionThatCanNeverRunIsRejected(String changes, String problem) {
    controller.startAsLeader();
    submit(changes).assertIs(422, errorBody(problem));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"Crew\":\"nobody\"}", "{\"Legs\":-1}", "{\"Awaits\":[\"wk-9\"]}"})
  void invalidResubmissionOfAcceptedJobReturnsItsStatus(String changes) {
    controller.startAsLeader();
    submit("{}").assertIs(201, PENDING);
    submit(changes).assertIs(200, PENDING);
  }

  @Test
  void submissionThatDependsOnAbortedJobIsAcceptedAsAborted() {
    controller.startAsLeader();
    submit("{}").assertIs(201, PENDING);
    controller.request("POST", "/work/wk-1/cancel", null).assertIs(200, ABORTED);
    submit("{\"Uid\":\"wk-2\",\"Awaits\":[\"wk-1\"]}")
        .assertIs(201, "{\"Uid\":\"wk-2\",\"Status\":\"aborted\"}");
  }

  // Job status

  @Test
  void jobStatusFollowsTaskCountsFromPendingToDone() {
    controller.startAsLeader();
    FakeWorker worker = controller.launchTask("{\"Uid\":\"wk-1\",\"Legs\":2}", "fetching");
    assertJobStatus(PENDING);
    worker.tasks.get("wk-1/0").put("Status", "running");
    worker.sendHeartbeat();
    assertJobStatus("{\"Uid\":\"wk-1\",\"Status\":\"running\",\"done\":0,\"running\":1}");
    worker.tasks.get("wk-1/1").put("Status", "running");
    worker.sendHeartbeat();
    assertJobStatus("{\"Uid\":\"wk-1\",\"Status\":\"running\",\"done\":0,\"running\":2}");
    worker.endTask("wk-1/0", "done");
    worker.sendHeartbeat();
    assertJobStatus("{\"Uid\":\"wk-1\",\"Status\":\"running\",\"done\":1,\"running\":1}");
    worker.tasks.get("wk-1/1").put("Status", "fetching");
    worker.sendHeartbeat();
    assertJobStatus("{\"Uid\":\"wk-1\",\"Status\":\"pending\",\"done\":1,\"running\":0}");
    worker.endTask("wk-1/1", "done");
    worker.sendHeartbeat();
    controller.loop.advance(1);
    assertJobStatus(DONE);
    controller.request("POST", "/work/wk-1/cancel", null).assertIs(200, DONE);
  }

  @Test
  void cancellationAbortsOpenJob() {
    controller.startAsLeader();
    submit("{}").assertIs(201, PENDING);
    controller.request("POST", "/work/wk-1/cancel", null).assertIs(200, ABORTED);
    assertJobStatus(ABORTED);
    controller.request("POST", "/work/wk-1/cancel", null).assertIs(200, ABORTED);
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /work/wk-9",
    "GET, /work/nonsense",
    "GET, /work/wk-",
    "POST, /work/wk-9/cancel",
    "POST, /work/nonsense/cancel",
    "POST, /work/wk-1/x/cancel",
    "POST, /work//cancel"
  })
  void jobThatWasNeverAcceptedIsNotFound(String method, String path) {
    controller.startAsLeader();
    controller.request(method, path, null).assertIs(404, errorBody("no such job"));
  }

  // Paths and methods

  @ParameterizedTest
  @CsvSource({
    "GET, /work, method GET not allowed for /work: expected POST",
    "PUT, /work, method PUT not allowed for /work: expected POST",
    "POST, /work/wk-1, method POST not allowed for /work/wk-1: expected GET",
    "DELETE, /work/wk-1, method DELETE not allowed for /work/wk-1: expected GET",
    "GET, /work/wk-1/cancel, method GET not allowed for /work/wk-1/cancel: expected POST",
    "GET, /v1/report, method GET not allowed for /v1/report: expected POST",
    "POST, /healthz, method POST not allowed for /healthz: expected GET",
    "POST, /work/\"x\\, method POST not allowed for /work/\"x\\: expected GET"
  })
  void knownPathWithWrongMethodIsNotAllowed(String method, String path, String problem) {
    controller.startAsLeader();
    controller.request(method, path, null).assertIs(405, errorBody(problem));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/",
        "/elsewhere",
        "/\"else\\where",
        "/work/",
        "/work/wk-1/legs",
        "/healthz/x",
        "/v1",
        "/metrics",
        "/admin/status",
        "/admin/settings",
        "/peer/hello",
        "/peer/report"
      })
  void pathOutsideUserApiIsNotFound(String path) {
    controller.startAsLeader();
    controller.request("GET", path, null).assertIs(404, errorBody("no such path: " + path));
  }

  // Rejections with a retry delay

  /**
   * The queue of each class of users' requests holds an eighth of the number of sockets; the queue
   * of heartbeats holds the number of sockets.
   */
  @ParameterizedTest
  @CsvSource({
    "POST, /work, 8",
    "GET, /work/wk-1, 8",
    "POST, /work/wk-1/cancel, 8",
    "POST, /v1/report, 64"
  })
  void requestBeyondPendingLimitIsRejectedWithRetryAfter(String method, String path, int limit) {
    MessageBodies.changeField(controller.settings, "/cluster/limits/sockets", "64");
    controller.startAsLeader();
    byte[] body = utf8(jobWith("{}"));
    for (int i = 0; i < limit; i++) {
      controller.requestAsync(method, path, body);
    }
    controller
        .awaitResponse(controller.requestAsync(method, path, body))
        .assertRetryLater(429, "too many requests");
  }

  @Test
  void submissionBeyondStateServiceWriteRateIsRejectedWithRetryAfter() {
    controller.startAsLeader();
    controller.state.writeRpsLimit = 0;
    submit("{}").assertRetryLater(429, "too many requests");
  }

  @Test
  void submissionBeforeMachineTypesAreKnownIsRejectedWithRetryAfter() {
    controller.cloudResponses.put("GET /machine_types", null);
    controller.startAsLeader();
    submit("{}").assertRetryLater(503, "the machine types are not known yet");
  }

  @ParameterizedTest
  @CsvSource({
    "POST, /work, {}",
    "POST, /work, {\"Legs\":0}",
    "POST, /work, {\"Crew\":\"nobody\"}",
    "POST, /work, {\"Awaits\":[\"wk-9\"]}",
    "GET, /work/wk-1, {}",
    "POST, /work/wk-1/cancel, {}"
  })
  void requestDuringStateServiceOutageIsRejectedWithRetryAfter(
      String method, String path, String changes) {
    controller.startAsLeader();
    controller.state.unavailableFor = (m, p) -> true;
    controller
        .request(method, path, jobWith(changes))
        .assertRetryLater(503, STATE_SERVICE_UNAVAILABLE);
  }

  // Health

  @Test
  void healthOfServingControllerIsOk() {
    controller.startAsLeader();
    controller.request("GET", "/healthz", null).assertIs(200, "{\"ok\":true}");
  }

  @Test
  void healthBeforeMachineTypesAreKnownIsNotReady() {
    controller.cloudResponses.put("GET /machine_types", null);
    controller.startAsLeader();
    controller.request("GET", "/healthz", null).assertRetryLater(503, "not ready");
  }

  @Test
  void healthOfFollowerCutOffFromStateServiceIsNotReady() {
    controller.startAsFollower();
    controller.request("GET", "/healthz", null).assertIs(200, "{\"ok\":true}");
    controller.state.unavailableFor = (m, p) -> true;
    controller.loop.advance(8);
    controller.request("GET", "/healthz", null).assertRetryLater(503, "not ready");
  }
}
