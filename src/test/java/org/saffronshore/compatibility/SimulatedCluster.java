package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.config.Address;
import org.saffronshore.http.Response;

/**
 * The environment of the controllers under test, on a manual clock: a fake state service whose
 * requests are recorded, a cloud and workers. This class depends on few types of the project, so
 * that tests that use it stay unchanged while the sources change. JSON texts may be written with
 * single quotes.
 */
final class SimulatedCluster {
  static final ObjectMapper MAPPER = new ObjectMapper();

  /** The cloud's response to a request for its machine types. */
  static final String MACHINE_TYPES = resource("machine-types.json");

  /** The incarnation of a controller whose random number generator is seeded with {@link #SEED}. */
  static final String INCARNATION = "bb1ad57319b89cd8";

  static final long SEED = 1;

  /** The leader record of a controller that is not part of the test. */
  static final String OTHER_LEADER = "{'Node':'n-2','Life':'2e','Term':6}";

  private static final String STATE_SERVICE = "10.2.0.1:2";
  private static final String CLOUD = "10.2.0.2:1";
  private static final double MESSAGE_DELAY_S = 0.001;
  private static final double CLOUD_DELAY_S = 0.01;
  private static final long START_TIME_MS = 1_000_000;
  private static final Pattern TIME_FIELD = Pattern.compile("\"At\":(\\d+)");

  /**
   * A response with a body in JSON. Status 0 stands for a lost response, and -1 for a request that
   * was not sent because the receiver is unreachable.
   */
  record CannedResponse(int status, String body) {
    Response toResponse() {
      return new Response(status, json(body).getBytes(StandardCharsets.UTF_8));
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** The requests to the state service, in the order of sending: method, path and body. */
  final List<String> stateRequests = new ArrayList<>();

  /** Tasks of the launch commands that workers received, in the order of the commands. */
  final List<String> startedTasks = new ArrayList<>();

  /** The peers' responses in CBOR, by path; null if the peer is unreachable. */
  Function<String, byte[]> peerResponses = path -> null;

  /** The bodies of the rental requests to the cloud, in the order of sending. */
  final List<String> rentalRequests = new ArrayList<>();

  /** Whether the cloud responds to every request with status 503. */
  boolean cloudUnavailable;

  /** Whether the cloud responds with status 503 to requests for its machine types only. */
  boolean machineTypesUnavailable;

  /** Requests from other threads, which the test thread has to send. */
  final BlockingQueue<Runnable> handedOverRequests = new LinkedBlockingQueue<>();

  private final Thread testThread = Thread.currentThread();
  private final Map<String, SimulatedWorker> workersByAddress = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<CannedResponse>> cannedResponses = new LinkedHashMap<>();

  // JSON texts and stored forms

  static String resource(String name) {
    try (InputStream in =
        SimulatedCluster.class.getResourceAsStream("/compatibility/stored/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the text with its single quotes replaced by double quotes. */
  static String json(String text) {
    return text.replace('\'', '"');
  }

  static ObjectNode parse(String text) {
    try {
      return (ObjectNode) MAPPER.readTree(json(text));
    } catch (JsonProcessingException e) {
      throw new AssertionError(text, e);
    }
  }

  /**
   * Returns a job specification, in the form in which users submit it and in which it is stored.
   *
   * @param more text that is appended to the fields: empty, or a comma and further fields
   */
  static String jobSpec(String id, int tasks, String more) {
    return json(
        "{'Uid':'"
            + id
            + "','RouteKind':'class','Crew':'red','Shape':'array','Urgency':'standard','Legs':"
            + tasks
            + ",'Cores':2.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'image','ImageGb':1.0,"
            + "'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':30.0,'WaypointS':0.0,'StashS':0.0"
            + more
            + "}");
  }

  static String jobSpec(String id, int tasks) {
    return jobSpec(id, tasks, "");
  }

  /**
   * Returns the stored form of an open job that was submitted one second before the test begins.
   */
  static String openJob(String id, int tasks, String more) {
    return json("{'At':999000,'Spec':" + jobSpec(id, tasks, more) + "}");
  }

  static String openJob(String id, int tasks) {
    return openJob(id, tasks, "");
  }

  /**
   * Returns the text with the value of each {@code At} field replaced by T, after checking that the
   * value is a time of day between the start of the test and now.
   */
  String maskTimes(String text) {
    return TIME_FIELD
        .matcher(text)
        .replaceAll(
            found -> {
              long at = Long.parseLong(found.group(1));
              assertTrue(at >= START_TIME_MS && at <= Math.round(loop.now() * 1000), text);
              return "\"At\":T";
            });
  }

  // Controllers and machines

  /** Returns the settings of a controller with the given node name and peers. */
  static ObjectNode settings(String node, String... peers) {
    ObjectNode settings = parse(resource("settings.json")).put("node", node);
    ArrayNode listed = settings.putArray("peers");
    for (String peer : peers) {
      listed
          .addObject()
          .put("node", peer)
          .put("area", "a")
          .put("addr", "10.0.0." + peer.substring(2) + ":8081");
    }
    return settings;
  }

  ControllerUnderTest startController(JsonNode settings) {
    return startController(settings, SEED);
  }

  ControllerUnderTest startController(JsonNode settings, long seed) {
    ControllerUnderTest controller = new ControllerUnderTest(this, settings, seed);
    controller.controller().start();
    return controller;
  }

  /** Stores values, given as alternating keys and values; the first value stored gets version 2. */
  void put(String... keysAndValues) {
    for (int i = 0; i < keysAndValues.length; i += 2) {
      state.put(keysAndValues[i], parse(keysAndValues[i + 1]));
    }
  }

  /** Starts a controller that follows another one. Versions 2 and 3 are taken by other keys. */
  ControllerUnderTest startFollower(String... keysAndValues) {
    put("l/leader", OTHER_LEADER, "m/types", MACHINE_TYPES);
    put(keysAndValues);
    cloudUnavailable = true;
    ControllerUnderTest controller = startController(settings("n-0"));
    loop.advance(1);
    return controller;
  }

  /** Starts a controller that has no peers and therefore leads at once. */
  ControllerUnderTest startLeader(String... keysAndValues) {
    put(keysAndValues);
    ControllerUnderTest controller = startController(settings("n-0"));
    loop.advance(0.5);
    return controller;
  }

  /**
   * Starts a controller that reaches no peer and has found that the leader key is deleted. Versions
   * 2 to 4 are taken by other keys, and the version after those of the given keys by the deletion.
   */
  ControllerUnderTest startCandidate(String name, String[] others, String... keysAndValues) {
    put("l/leader", OTHER_LEADER, "t/term", OTHER_LEADER, "m/types", MACHINE_TYPES);
    put(keysAndValues);
    ControllerUnderTest controller = startController(settings(name, others));
    loop.advance(6);
    state.remove("l/leader");
    loop.advance(4);
    return controller;
  }

  /** Adds a machine, which the cloud lists from now on. */
  SimulatedWorker addMachine(String name, String zone) {
    String address = "10.1.0." + name.substring(name.indexOf('-') + 1) + ":9000";
    SimulatedWorker worker = new SimulatedWorker(this, name, address, zone);
    workersByAddress.put(address, worker);
    return worker;
  }

  /** Removes a machine: the cloud no longer lists it, and its worker is unreachable. */
  void removeMachine(SimulatedWorker worker) {
    worker.silent = true;
    workersByAddress.values().remove(worker);
  }

  // Requests to the state service

  /** Returns the bodies of the transactions, in the order of sending. */
  List<String> sentTransactions() {
    String prefix = "POST /commit ";
    return stateRequests.stream()
        .filter(request -> request.startsWith(prefix))
        .map(request -> request.substring(prefix.length()))
        .toList();
  }

  /** Returns the value that was last sent for a key, as it was sent; null if there was none. */
  String lastWrittenValue(String key) {
    String last = null;
    for (String transaction : sentTransactions()) {
      for (JsonNode write : parse(transaction).path("Then")) {
        if (key.equals(write.path("Set").asText())) {
          last = write.get("Data").toString();
          assertTrue(transaction.contains("\"Data\":" + last), transaction);
        }
      }
    }
    return last;
  }

  void assertSent(String request) {
    assertTrue(
        stateRequests.contains(json(request)),
        () -> "expected this request: " + request + "\nfound:" + lines(stateRequests));
  }

  /** Asserts that no request to the state service begins with the given text. */
  void assertNotSent(String prefix) {
    assertTrue(
        stateRequests.stream().noneMatch(request -> request.startsWith(json(prefix))),
        () ->
            "expected no request with this prefix: " + prefix + "\nfound:" + lines(stateRequests));
  }

  private static String lines(List<String> requests) {
    return "\n" + String.join("\n", requests);
  }

  // Responses

  /**
   * Sets the responses to the next requests to the state service that begin with the given text.
   * Such a request is not executed.
   */
  void respondTo(String prefix, CannedResponse... responses) {
    cannedResponses
        .computeIfAbsent(json(prefix), key -> new ArrayDeque<>())
        .addAll(Arrays.asList(responses));
  }

  private CannedResponse nextCannedResponse(String request) {
    return cannedResponses.entrySet().stream()
        .filter(entry -> request.startsWith(entry.getKey()))
        .map(entry -> entry.getValue().poll())
        .filter(response -> response != null)
        .findFirst()
        .orElse(null);
  }

  /** Sends a request of a controller to the simulated receiver at the given address. */
  void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback receiver) {
    if (Thread.currentThread() != testThread) {
      handedOverRequests.add(() -> send(to, method, path, body, timeoutS, receiver));
      return;
    }
    String address = to.toString();
    String text = body == null ? "" : new String(body, StandardCharsets.UTF_8);
    if (address.equals(STATE_SERVICE)) {
      String request = body == null ? method + " " + path : method + " " + path + " " + text;
      stateRequests.add(request);
      CannedResponse cannedResponse = nextCannedResponse(request);
      if (cannedResponse == null) {
        state.send(to, method, path, body, timeoutS, receiver);
      } else {
        respondAfter(
            cannedResponse.status() == 0 ? timeoutS : MESSAGE_DELAY_S,
            receiver,
            cannedResponse.toResponse());
      }
    } else if (address.equals(CLOUD)) {
      respondAfter(CLOUD_DELAY_S, receiver, cloudResponse(path, text).toResponse());
    } else if (workersByAddress.containsKey(address)) {
      SimulatedWorker worker = workersByAddress.get(address);
      if (worker.silent) {
        respondAfter(timeoutS, receiver, new CannedResponse(0, "").toResponse());
      } else {
        respondAfter(MESSAGE_DELAY_S, receiver, worker.handleCommands(parse(text)).toResponse());
      }
    } else {
      byte[] response = peerResponses.apply(path);
      respondAfter(
          MESSAGE_DELAY_S,
          receiver,
          response == null ? new CannedResponse(-1, "").toResponse() : new Response(200, response));
    }
  }

  private void respondAfter(double delayS, Response.Callback receiver, Response response) {
    loop.schedule(delayS, () -> receiver.onResponse(response));
  }

  private CannedResponse cloudResponse(String path, String body) {
    if (cloudUnavailable || (machineTypesUnavailable && path.equals("/machine_types"))) {
      return new CannedResponse(503, "{}");
    } else if (path.equals("/machine_types")) {
      return new CannedResponse(200, MACHINE_TYPES);
    } else if (path.startsWith("/hosts?")) {
      ObjectNode list = MAPPER.createObjectNode();
      ArrayNode listed = list.putArray("Cadres");
      workersByAddress.values().forEach(worker -> listed.add(worker.cloudEntry()));
      return new CannedResponse(200, list.toString());
    } else if (path.equals("/hosts/return")) {
      List<String> names = new ArrayList<>();
      parse(body).get("Cadres").forEach(name -> names.add(name.asText()));
      workersByAddress.values().stream()
          .filter(worker -> names.contains(worker.name()))
          .toList()
          .forEach(this::removeMachine);
      return new CannedResponse(200, "{}");
    }
    rentalRequests.add(body);
    return new CannedResponse(503, "{'error':'no capacity'}");
  }
}
