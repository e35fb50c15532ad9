package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.saffronshore.compatibility.Messages.answer;
import static org.saffronshore.compatibility.Messages.bytes;
import static org.saffronshore.compatibility.Messages.error;
import static org.saffronshore.compatibility.Messages.json;
import static org.saffronshore.compatibility.Messages.resource;

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
  private static final String STATE = "10.2.0.1:2";
  private static final String CLOUD = "10.2.0.2:1";
  private static final String PEER_PORT = ":8081";

  /** How long the answer to a request of the controller takes. */
  private static final double TRIP_S = 0.01;

  private static final double STEP_S = 0.01;
  private static final int MAX_STEPS = 500;

  /** Of the generator from which the controller draws its incarnation. */
  private static final long SEED = 1;

  /** A request that the controller made; {@code body} is null where it has none. */
  @SuppressWarnings("ArrayRecordComponent") // Compared by its text only.
  record Sent(String to, String method, String path, byte[] body) {
    String text() {
      return body == null ? null : new String(body, StandardCharsets.UTF_8);
    }

    /** All of it in one line. */
    String line() {
      return method + " " + to + path + " " + text();
    }
  }

  /** An answer that the controller gave. */
  @SuppressWarnings("ArrayRecordComponent") // Compared by its text only.
  record Said(int status, String type, byte[] body, int retryAfterS) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    void is(int wantedStatus, String wantedBody) {
      is(wantedStatus, wantedBody, 0);
    }

    /** It is a refusal that tells to come back in a second. */
    void isLater(int wantedStatus, String problem) {
      is(wantedStatus, error(problem), 1);
    }

    private void is(int wantedStatus, String wantedBody, int wantedRetryAfterS) {
      assertEquals(
          wantedStatus + " " + Messages.JSON_TYPE + " " + wantedRetryAfterS + " " + wantedBody,
          status + " " + type + " " + retryAfterS + " " + text());
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** May be changed until the controller is started. */
  final ObjectNode settings = json(resource("settings.json"));

  /** What the controller sent to others than the state service. */
  final List<Sent> sent = new ArrayList<>();

  /** Answers of the cloud by method and path, beside the usual ones; null if it is lost. */
  final Map<String, Response> cloud = new HashMap<>();

  /** Answers of peers; null if one is lost. */
  Function<Sent, Response> peers = request -> null;

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private Controller node;

  // The controller

  /** Starts a controller that has two peers. */
  void start() {
    try {
      node = new Controller(loop, Settings.parse(settings), this, new Random(SEED));
    } catch (Exception e) {
      throw new AssertionError(e);
    }
    node.start();
  }

  /** Starts a controller that has no peers, and leads. */
  void lead() {
    settings.putArray("peers");
    start();
    loop.advance(2);
  }

  /** Starts a controller that has peers, of which n-1 leads term 7. */
  void follow() {
    state.put("l/leader", json("{\"Node\":\"n-1\",\"Life\":\"1f\",\"Term\":7}"));
    start();
    loop.advance(2);
  }

  /** Lets a leader launch the task of the job wk-1 on a new machine. */
  Worker launchTask(String jobChanges, String launchedAs) {
    Worker worker = worker("host-1", "10.1.0.1:9000");
    worker.launchedAs = launchedAs;
    worker.reports();
    loop.advance(1);
    submit(jobChanges);
    loop.advance(1);
    assertNotNull(worker.legs.get("wk-1/0"), "launched");
    return worker;
  }

  /** Submits the usual job with some fields changed; it is new. */
  void submit(String jobChanges) {
    assertEquals(201, ask("POST", "/work", Messages.job(jobChanges)).status);
  }

  /** Asks on the users' address. */
  Said ask(String method, String path, String body) {
    return await(begin(method, path, body == null ? new byte[0] : bytes(body)));
  }

  /** Asks on the users' address, and does not wait; the answer is going to be in the list. */
  List<Said> begin(String method, String path, byte[] body) {
    return begin(node::handle, method, path, body);
  }

  /** Asks on the peers' address. */
  Said askAsPeer(String method, String path, byte[] body) {
    return await(begin(node::handlePeer, method, path, body));
  }

  /** Asks on the peers' address, as an operator. */
  Said administer(String method, String path, String body) {
    return askAsPeer(method, path, body == null ? new byte[0] : bytes(body));
  }

  private static List<Said> begin(
      BiConsumer<Request, Responder> address, String method, String path, byte[] body) {
    List<Said> said = new ArrayList<>(1);
    address.accept(
        new Request(method, path, body),
        (status, type, bytes, retryAfterS) -> {
          // As on a connection, whoever asked gets the first answer only.
          if (said.isEmpty()) {
            said.add(new Said(status, type, bytes, retryAfterS));
          }
        });
    return said;
  }

  /** Waits for an answer that does not come at once. */
  Said await(List<Said> said) {
    for (int i = 0; i < MAX_STEPS && said.isEmpty(); i++) {
      loop.advance(STEP_S);
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
    if (to.toString().equals(STATE)) {
      state.send(to, method, path, body, timeoutS, receiver);
      return;
    }
    Sent request = new Sent(to.toString(), method, path, body);
    sent.add(request);
    Response answer = answerTo(request);
    if (answer == null) {
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else {
      loop.schedule(TRIP_S, () -> receiver.onResponse(answer));
    }
  }

  private Response answerTo(Sent request) {
    if (request.to.equals(CLOUD)) {
      return answerOfCloud(request);
    }
    if (request.to.endsWith(PEER_PORT)) {
      return peers.apply(request);
    }
    Worker worker = workers.get(request.to);
    return worker == null ? null : worker.told(request);
  }

  private Response answerOfCloud(Sent request) {
    String key = request.method + " " + request.path;
    if (cloud.containsKey(key)) {
      return cloud.get(key);
    }
    return switch (key) {
      case "GET /machine_types" -> answer(200, resource("machine-types.json"));
      case "GET /hosts?Most=500" -> answer(200, listed());
      case "POST /hosts" -> answer(503, error("no capacity"));
      case "POST /hosts/return" -> answer(200, "{}");
      default -> throw new AssertionError("the cloud knows no " + key);
    };
  }

  private String listed() {
    ObjectNode page = json("{}");
    ArrayNode machines = page.putArray("Cadres");
    for (Worker worker : workers.values()) {
      machines.add(
          json(
              "{\"Uid\":\"%s\",\"Address\":\"%s\",\"Rig\":\"big\",\"Depot\":\"a\",\"Loaner\":true,\"Status\":\"running\",\"HeldS\":5}"
                  .formatted(worker.id, worker.address)));
    }
    return page.toString();
  }

  /** What the controller sent to a path so far, each request in one line. */
  List<String> sentTo(String path) {
    return sent.stream().filter(request -> request.path.equals(path)).map(Sent::line).toList();
  }

  /** The bodies of what the controller sent to a path so far. */
  List<byte[]> bodiesTo(String path) {
    return sent.stream().filter(request -> request.path.equals(path)).map(Sent::body).toList();
  }

  /** One more machine, which the cloud lists; its worker reports when the test says so. */
  Worker worker(String id, String address) {
    Worker worker = new Worker(id, address);
    workers.put(address, worker);
    return worker;
  }

  /** A worker's side of the protocol. What it is to launch is there at once. */
  final class Worker {
    final Map<String, ObjectNode> legs = new LinkedHashMap<>();

    /** The state in which tasks are after a launch. */
    String launchedAs = "running";

    /** Whether direct commands reach it. */
    boolean reachable = true;

    Integer recallS;
    long shift = 1;
    long baton;
    private final String id;
    private final String address;
    private long tick;

    private Worker(String id, String address) {
      this.id = id;
      this.address = address;
    }

    String report() {
      ObjectNode report =
          json("{}")
              .put("Cadre", id)
              .put("Address", address)
              .put("Rig", "big")
              .put("Depot", "a")
              .put("Loaner", true)
              .put("Shift", shift)
              .put("Tick", ++tick)
              .put("Baton", baton)
              .put("RecallS", recallS);
      ArrayNode all = report.putArray("Legs");
      legs.values().forEach(leg -> all.add(leg));
      return report.toString();
    }

    /** Reports, and does what the answer says. */
    Said reports() {
      Said said = ask("POST", "/v1/report", report());
      if (said.status == 200) {
        obey(json(said.text()));
      }
      return said;
    }

    /** Reports, and lets a second pass. */
    void reportsForASecond() {
      reports();
      loop.advance(1 - STEP_S);
    }

    void ends(String leg, String cause) {
      legs.get(leg).put("Status", "ended").put("Cause", cause);
    }

    private Response told(Sent request) {
      if (!reachable) {
        return Response.NOT_SENT;
      }
      ObjectNode message = json(request.text());
      if (message.get("Shift").asLong() != shift) {
        return answer(409, report());
      }
      obey(message);
      return answer(200, report());
    }

    private void obey(ObjectNode message) {
      baton = message.get("Baton").asLong();
      for (JsonNode call : message.get("Calls")) {
        String leg = call.get("Leg").asText();
        switch (call.get("Call").asText()) {
          case "launch" ->
              legs.putIfAbsent(
                  leg,
                  json("{}")
                      .put("Leg", leg)
                      .put("Lap", call.get("Lap").asLong())
                      .put("Status", launchedAs));
          case "kill" -> ends(leg, "halted");
          case "reap" -> legs.remove(leg);
          default -> throw new AssertionError("no such call: " + call);
        }
      }
    }
  }
}
