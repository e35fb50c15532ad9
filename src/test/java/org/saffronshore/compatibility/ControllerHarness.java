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
 * One whole controller as a black box on a manual clock. What it sends to the cloud, to workers and
 * to peers is recorded and answered as the test says; the state service is a fake.
 *
 * <p>The tests of this package compare messages with literals, so that no change of the sources can
 * change what others read and write. They use of the project only what it takes to build a
 * controller and to hand it messages.
 */
final class ControllerHarness implements Client {
  private static final String STATE_SERVICE_ADDRESS = "10.2.0.1:2";
  private static final String CLOUD_ADDRESS = "10.2.0.2:1";
  private static final String PEER_PORT = ":8081";

  /** How long the answer to a request of the controller takes. */
  private static final double RESPONSE_DELAY_S = 0.01;

  private static final double STEP_S = 0.01;
  private static final int MAX_STEPS = 500;

  /** Of the generator from which the controller draws its incarnation. */
  private static final long SEED = 1;

  /** A request that the controller made; {@code body} is null where it has none. */
  @SuppressWarnings("ArrayRecordComponent") // Compared by its text only.
  record SentRequest(String to, String method, String path, byte[] body) {
    String bodyText() {
      return body == null ? null : new String(body, StandardCharsets.UTF_8);
    }

    /** All of it in one line. */
    String toLine() {
      return method + " " + to + path + " " + bodyText();
    }
  }

  /** An answer that the controller gave. */
  @SuppressWarnings("ArrayRecordComponent") // Compared by its text only.
  record ControllerResponse(int status, String contentType, byte[] body, int retryAfterS) {
    String bodyText() {
      return new String(body, StandardCharsets.UTF_8);
    }

    void assertIs(int wantedStatus, String wantedBody) {
      assertIs(wantedStatus, wantedBody, 0);
    }

    /** It is a refusal that tells to come back in a second. */
    void assertRetryLater(int wantedStatus, String problem) {
      assertIs(wantedStatus, errorBody(problem), 1);
    }

    private void assertIs(int wantedStatus, String wantedBody, int wantedRetryAfterS) {
      assertEquals(
          wantedStatus
              + " "
              + MessageBodies.JSON_CONTENT_TYPE
              + " "
              + wantedRetryAfterS
              + " "
              + wantedBody,
          status + " " + contentType + " " + retryAfterS + " " + bodyText());
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** May be changed until the controller is started. */
  final ObjectNode settings = jsonObject(resource("settings.json"));

  /** What the controller sent to others than the state service. */
  final List<SentRequest> sentRequests = new ArrayList<>();

  /** Answers of the cloud by method and path, beside the usual ones; null if it is lost. */
  final Map<String, Response> cloudResponses = new HashMap<>();

  /** Answers of peers; null if one is lost. */
  Function<SentRequest, Response> peerResponder = request -> null;

  private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private Controller controller;

  // The controller

  /** Starts a controller that has two peers. */
  void start() {
    try {
      controller = new Controller(loop, Settings.parse(settings), this, new Random(SEED));
    } catch (Exception e) {
      throw new AssertionError(e);
    }
    controller.start();
  }

  /** Starts a controller that has no peers, and leads. */
  void startAsLeader() {
    settings.putArray("peers");
    start();
    loop.pass(2);
  }

  /** Starts a controller that has peers, of which n-1 leads term 7. */
  void startAsFollower() {
    state.put("l/leader", jsonObject("{\"Node\":\"n-1\",\"Life\":\"1f\",\"Term\":7}"));
    start();
    loop.pass(2);
  }

  /** Lets a leader launch the task of the job wk-1 on a new machine. */
  FakeWorker launchTask(String jobChanges, String launchedAs) {
    FakeWorker worker = addWorker("host-1", "10.1.0.1:9000");
    worker.stateAfterLaunch = launchedAs;
    worker.sendHeartbeat();
    loop.pass(1);
    submit(jobChanges);
    loop.pass(1);
    assertNotNull(worker.tasks.get("wk-1/0"), "launched");
    return worker;
  }

  /** Submits the usual job with some fields changed; it is new. */
  void submit(String jobChanges) {
    assertEquals(201, request("POST", "/work", MessageBodies.jobWith(jobChanges)).status);
  }

  /** Asks on the users' address. */
  ControllerResponse request(String method, String path, String body) {
    return awaitResponse(requestAsync(method, path, body == null ? new byte[0] : utf8(body)));
  }

  /** Asks on the users' address, and does not wait; the answer is going to be in the list. */
  List<ControllerResponse> requestAsync(String method, String path, byte[] body) {
    return requestAsync(controller::handle, method, path, body);
  }

  /** Asks on the peers' address. */
  ControllerResponse requestAsPeer(String method, String path, byte[] body) {
    return awaitResponse(requestAsync(controller::handlePeer, method, path, body));
  }

  /** Asks on the peers' address, as an operator. */
  ControllerResponse requestAsOperator(String method, String path, String body) {
    return requestAsPeer(method, path, body == null ? new byte[0] : utf8(body));
  }

  private static List<ControllerResponse> requestAsync(
      BiConsumer<Request, Responder> address, String method, String path, byte[] body) {
    List<ControllerResponse> said = new ArrayList<>(1);
    address.accept(
        new Request(method, path, body),
        (status, type, bytes, retryAfterS) -> {
          // As on a connection, whoever asked gets the first answer only.
          if (said.isEmpty()) {
            said.add(new ControllerResponse(status, type, bytes, retryAfterS));
          }
        });
    return said;
  }

  /** Waits for an answer that does not come at once. */
  ControllerResponse awaitResponse(List<ControllerResponse> said) {
    for (int i = 0; i < MAX_STEPS && said.isEmpty(); i++) {
      loop.pass(STEP_S);
    }
    assertEquals(1, said.size(), "answers");
    return said.get(0);
  }

  // Everything around it

  @Override
  public void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback receiver) {
    if (to.toString().equals(STATE_SERVICE_ADDRESS)) {
      state.send(to, method, path, body, timeoutS, receiver);
      return;
    }
    SentRequest request = new SentRequest(to.toString(), method, path, body);
    sentRequests.add(request);
    Response answer = responseTo(request);
    if (answer == null) {
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else {
      loop.schedule(RESPONSE_DELAY_S, () -> receiver.onResponse(answer));
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
      default -> throw new AssertionError("the cloud knows no " + key);
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

  /** What the controller sent to a path so far, each request in one line. */
  List<String> requestsTo(String path) {
    return sentRequests.stream()
        .filter(request -> request.path.equals(path))
        .map(SentRequest::toLine)
        .toList();
  }

  /** The bodies of what the controller sent to a path so far. */
  List<byte[]> requestBodiesTo(String path) {
    return sentRequests.stream()
        .filter(request -> request.path.equals(path))
        .map(SentRequest::body)
        .toList();
  }

  /** One more machine, which the cloud lists; its worker reports when the test says so. */
  FakeWorker addWorker(String id, String address) {
    FakeWorker worker = new FakeWorker(id, address);
    workers.put(address, worker);
    return worker;
  }

  /** A worker's side of the protocol. What it is to launch is there at once. */
  final class FakeWorker {
    final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

    /** The state in which tasks are after a launch. */
    String stateAfterLaunch = "running";

    /** Whether direct commands reach it. */
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

    String nextHeartbeat() {
      ObjectNode report =
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
      ArrayNode all = report.putArray("Legs");
      tasks.values().forEach(leg -> all.add(leg));
      return report.toString();
    }

    /** Reports, and does what the answer says. */
    ControllerResponse sendHeartbeat() {
      ControllerResponse said = request("POST", "/v1/report", nextHeartbeat());
      if (said.status == 200) {
        execute(jsonObject(said.bodyText()));
      }
      return said;
    }

    /** Reports, and lets a second pass. */
    void sendHeartbeatAndWait() {
      sendHeartbeat();
      loop.pass(1 - STEP_S);
    }

    void endTask(String leg, String cause) {
      tasks.get(leg).put("Status", "ended").put("Cause", cause);
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
      for (JsonNode call : message.get("Calls")) {
        String leg = call.get("Leg").asText();
        switch (call.get("Call").asText()) {
          case "launch" ->
              tasks.putIfAbsent(
                  leg,
                  jsonObject("{}")
                      .put("Leg", leg)
                      .put("Lap", call.get("Lap").asLong())
                      .put("Status", stateAfterLaunch));
          case "kill" -> endTask(leg, "halted");
          case "reap" -> tasks.remove(leg);
          default -> throw new AssertionError("no such call: " + call);
        }
      }
    }
  }
}
