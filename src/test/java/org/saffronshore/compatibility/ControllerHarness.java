package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.resource;
import static org.saffronshore.compatibility.MessageBodies.response;
import static org.saffronshore.compatibility.MessageBodies.utf8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.config.Address;
import org.saffronshore.config.Settings;
import org.saffronshore.control.Controller;
import org.saffronshore.http.Client;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.http.Response;

/**
 * Runs a complete controller as a black box on a manual clock. Its requests to the cloud, to
 * workers and to peers are recorded and get the responses that the test specifies; the state
 * service is a fake.
 *
 * <p>The tests of this package compare messages with literals, so that a change of the sources
 * cannot go unnoticed if it alters what other programs read and write. Of the project's classes
 * they use only those that are needed to build a controller and to pass messages to it.
 */
final class ControllerHarness implements Client {
  private static final String STATE_SERVICE_ADDRESS = "10.2.0.1:2";
  private static final String CLOUD_ADDRESS = "10.2.0.2:1";
  private static final String PEER_PORT = ":8081";

  /** The time from a request of the controller until its response arrives. */
  private static final double RESPONSE_DELAY_S = 0.01;

  private static final double STEP_S = 0.01;
  private static final int MAX_STEPS = 500;

  /** The seed of the generator from which the controller draws its incarnation. */
  private static final long SEED = 1;

  /** A request that the controller sent; {@code body} is null if the request has none. */
  @SuppressWarnings("ArrayRecordComponent") // Tests compare only the text of the body.
  record SentRequest(String to, String method, String path, byte[] body) {
    String bodyText() {
      return body == null ? null : new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the method, destination, path and body in one line. */
    String toLine() {
      return method + " " + to + path + " " + bodyText();
    }
  }

  /** A response of the controller; {@code retryAfterS} is 0 if it has no such header. */
  @SuppressWarnings("ArrayRecordComponent") // Tests compare only the text of the body.
  record ControllerResponse(int status, String contentType, byte[] body, int retryAfterS) {
    String bodyText() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /** Asserts that this is a JSON response without a retry delay. */
    void assertIs(int expectedStatus, String expectedBody) {
      assertIs(expectedStatus, expectedBody, 0);
    }

    /** Asserts that the request was rejected and may be repeated after one second. */
    void assertRetryLater(int expectedStatus, String problem) {
      assertIs(expectedStatus, errorBody(problem), 1);
    }

    private void assertIs(int expectedStatus, String expectedBody, int expectedRetryAfterS) {
      assertEquals(
          expectedStatus
              + " "
              + MessageBodies.JSON_CONTENT_TYPE
              + " "
              + expectedRetryAfterS
              + " "
              + expectedBody,
          status + " " + contentType + " " + retryAfterS + " " + bodyText());
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** The settings of the controller. Changes take effect until it is started. */
  final ObjectNode settings = jsonObject(resource("settings.json"));

  /** The requests of the controller, except those to the state service. */
  final List<SentRequest> sentRequests = new ArrayList<>();

  /**
   * Responses of the cloud by method and path, which replace the default ones; null if the response
   * is lost.
   */
  final Map<String, Response> cloudResponses = new HashMap<>();

  /** Produces the responses of peers; null if a response is lost. */
  Function<SentRequest, Response> peerResponder = request -> null;

  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private Controller controller;

  // The controller

  /** Starts the controller with the peers of its settings, which are two by default. */
  void start() {
    try {
      controller = new Controller(loop, Settings.parse(settings), this, new Random(SEED));
    } catch (Exception e) {
      throw new AssertionError(e);
    }
    controller.start();
  }

  /** Starts the controller without peers and waits until it leads. */
  void startAsLeader() {
    settings.putArray("peers");
    start();
    loop.advance(2);
  }

  /** Starts the controller with two peers, of which n-1 leads term 7. */
  void startAsFollower() {
    state.put("l/leader", jsonObject("{\"Node\":\"n-1\",\"Life\":\"1f\",\"Term\":7}"));
    start();
    loop.advance(2);
  }

  /**
   * Adds the machine host-1, submits the job wk-1 and waits until the leader has launched its first
   * task there.
   *
   * @param jobChanges fields of the default job to set or change, as a JSON object
   * @param stateAfterLaunch the wire name of the state that the worker reports for launched tasks
   */
  FakeWorker launchTask(String jobChanges, String stateAfterLaunch) {
    FakeWorker worker = addWorker("host-1", "10.1.0.1:9000");
    worker.stateAfterLaunch = stateAfterLaunch;
    worker.sendHeartbeat();
    loop.advance(1);
    submit(jobChanges);
    loop.advance(1);
    assertNotNull(worker.tasks.get("wk-1/0"), "task wk-1/0 was not launched");
    return worker;
  }

  /** Submits the default job with some fields changed, and asserts that it is a new job. */
  void submit(String jobChanges) {
    assertEquals(201, request("POST", "/work", MessageBodies.jobWith(jobChanges)).status);
  }

  /** Sends a request to the address of users and workers, and waits for the response. */
  ControllerResponse request(String method, String path, String body) {
    return awaitResponse(requestAsync(method, path, body == null ? new byte[0] : utf8(body)));
  }

  /**
   * Sends a request to the address of users and workers without waiting. The response is added to
   * the returned list when it arrives.
   */
  List<ControllerResponse> requestAsync(String method, String path, byte[] body) {
    return requestAsync(controller::handle, method, path, body);
  }

  /** Sends a request to the address of peers and operators, and waits for the response. */
  ControllerResponse requestAsPeer(String method, String path, byte[] body) {
    return awaitResponse(requestAsync(controller::handlePeer, method, path, body));
  }

  /** Sends a request with a text body to the address of peers and operators. */
  ControllerResponse requestAsOperator(String method, String path, String body) {
    return requestAsPeer(method, path, body == null ? new byte[0] : utf8(body));
  }

  private static List<ControllerResponse> requestAsync(
      BiConsumer<Request, Responder> address, String method, String path, byte[] body) {
    List<ControllerResponse> responses = new ArrayList<>(1);
    address.accept(
        new Request(method, path, body),
        (status, type, bytes, retryAfterS) -> {
          // As on a connection, only the first response reaches the client.
          if (responses.isEmpty()) {
            responses.add(new ControllerResponse(status, type, bytes, retryAfterS));
          }
        });
    return responses;
  }

  /** Passes time until the response has arrived. */
  ControllerResponse awaitResponse(List<ControllerResponse> responses) {
    for (int i = 0; i < MAX_STEPS && responses.isEmpty(); i++) {
      loop.advance(STEP_S);
    }
    assertEquals(1, responses.size(), "number of responses");
    return responses.get(0);
  }

  // The services, workers and peers around the controller

  @Override
  public void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback callback) {
    if (to.toString().equals(STATE_SERVICE_ADDRESS)) {
      state.send(to, method, path, body, timeoutS, callback);
      return;
    }
    SentRequest request = new SentRequest(to.toString(), method, path, body);
    sentRequests.add(request);
    Response response = responseTo(request);
    if (response == null) {
      loop.schedule(timeoutS, () -> callback.onResponse(Response.LOST));
    } else {
      loop.schedule(RESPONSE_DELAY_S, () -> callback.onResponse(response));
    }
  }

  private Response responseTo(SentRequest request) {
    if (request.to.equals(CLOUD_ADDRESS)) {
      return cloudResponse(request);
    }
    if (request.to.endsWith(PEER_PORT)) {
      return peerResponder.apply(request);
    }
    FakeWorker worker = workers.get(request.to);
    return worker == null ? null : worker.onDirectCommand(request);
  }

  private Response cloudResponse(SentRequest request) {
    String key = request.method + " " + request.path;
    if (cloudResponses.containsKey(key)) {
      return cloudResponses.get(key);
    }
    return switch (key) {
      case "GET /machine_types" -> response(200, resource("machine-types.json"));
      case "GET /hosts?Most=500" -> response(200, machineListJson());
      case "POST /hosts" -> response(503, errorBody("no capacity"));
      case "POST /hosts/return" -> response(200, "{}");
      default -> throw new AssertionError("unexpected request to the cloud: " + key);
    };
  }

  private String machineListJson() {
    ObjectNode page = jsonObject("{}");
    ArrayNode machines = page.putArray("Cadres");
    for (FakeWorker worker : workers.values()) {
      machines.add(
          jsonObject(
              "{\"Uid\":\"%s\",\"Address\":\"%s\",\"Rig\":\"big\",\"Depot\":\"a\",\"Loaner\":true,\"Status\":\"running\",\"HeldS\":5}"
                  .formatted(worker.id, worker.address)));
    }
    return page.toString();
  }

  /** Returns the requests that the controller has sent to a path, each in one line. */
  List<String> requestsTo(String path) {
    return sentRequests.stream()
        .filter(request -> request.path.equals(path))
        .map(SentRequest::toLine)
        .toList();
  }

  /**
   * Adds a machine, which the cloud lists from then on. Its worker sends heartbeats only when the
   * test calls for them.
   */
  FakeWorker addWorker(String id, String address) {
    FakeWorker worker = new FakeWorker(id, address);
    workers.put(address, worker);
    return worker;
  }

  /** The worker's side of the protocol. A launched task is in {@link #stateAfterLaunch} at once. */
  final class FakeWorker {
    final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

    /** The wire name of the state of a task after its launch. */
    String stateAfterLaunch = "running";

    /** Whether direct commands reach the worker. */
    boolean reachable = true;

    Integer preemptionNoticeS;
    long epoch = 1;
    long fencingToken;
    private final String id;
    private final String address;
    private long sequence;

    private FakeWorker(String id, String address) {
      this.id = id;
      this.address = address;
    }

    /** Returns a heartbeat with the next sequence number. */
    String nextHeartbeat() {
      ObjectNode heartbeat =
          jsonObject("{}")
              .put("Cadre", id)
              .put("Address", address)
              .put("Rig", "big")
              .put("Depot", "a")
              .put("Loaner", true)
              .put("Shift", epoch)
              .put("Tick", ++sequence)
              .put("Baton", fencingToken)
              .put("RecallS", preemptionNoticeS);
      ArrayNode reportedTasks = heartbeat.putArray("Legs");
      tasks.values().forEach(task -> reportedTasks.add(task));
      return heartbeat.toString();
    }

    /** Sends a heartbeat and executes the commands in the response. */
    ControllerResponse sendHeartbeat() {
      ControllerResponse response = request("POST", "/v1/report", nextHeartbeat());
      if (response.status == 200) {
        execute(jsonObject(response.bodyText()));
      }
      return response;
    }

    /** Sends a heartbeat and waits, one second in all. */
    void sendHeartbeatAndWait() {
      sendHeartbeat();
      loop.advance(1 - STEP_S);
    }

    /** Ends a task; the next heartbeat reports it with this exit reason. */
    void endTask(String task, String exitReason) {
      tasks.get(task).put("Status", "ended").put("Cause", exitReason);
    }

    private Response onDirectCommand(SentRequest request) {
      if (!reachable) {
        return Response.NOT_SENT;
      }
      ObjectNode message = jsonObject(request.bodyText());
      if (message.get("Shift").asLong() != epoch) {
        return response(409, nextHeartbeat());
      }
      execute(message);
      return response(200, nextHeartbeat());
    }

    private void execute(ObjectNode message) {
      fencingToken = message.get("Baton").asLong();
      for (JsonNode command : message.get("Calls")) {
        String task = command.get("Leg").asText();
        switch (command.get("Call").asText()) {
          case "launch" ->
              tasks.putIfAbsent(
                  task,
                  jsonObject("{}")
                      .put("Leg", task)
                      .put("Lap", command.get("Lap").asLong())
                      .put("Status", stateAfterLaunch));
          case "kill" -> endTask(task, "halted");
          case "reap" -> tasks.remove(task);
          default -> throw new AssertionError("unexpected command: " + command);
        }
      }
    }
  }
}
