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
 * What is around controllers, on a manual clock: a state service whose requests are recorded, a
 * cloud, and workers. It depends on few types of the project, so that the tests on it stay as they
 * are while the sources change. Texts in JSON may be written with single quotes.
 */
final class SimulatedCluster {
  static final ObjectMapper MAPPER = new ObjectMapper();

  /** What the cloud answers to a question for its machine types. */
  static final String MACHINE_TYPES = resource("machine-types.json");

  /** The incarnation of a controller whose generator has the usual seed. */
  static final String INCARNATION = "bb1ad57319b89cd8";

  static final long SEED = 1;

  /** Another controller leads, and has no part in what is tested. */
  static final String OTHER_LEADER = "{'Node':'n-2','Life':'2e','Term':6}";

  private static final String STATE_SERVICE = "10.2.0.1:2";
  private static final String CLOUD = "10.2.0.2:1";
  private static final double MESSAGE_DELAY_S = 0.001;
  private static final double CLOUD_DELAY_S = 0.01;
  private static final long START_TIME_MS = 1_000_000;
  private static final Pattern TIME_FIELD = Pattern.compile("\"At\":(\\d+)");

  /** An answer with a body in JSON; status 0 means that it is lost, and -1 that nobody is there. */
  record CannedResponse(int status, String body) {
    Response toResponse() {
      return new Response(status, json(body).getBytes(StandardCharsets.UTF_8));
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** What the state service was sent, in that order: method, path and body. */
  final List<String> stateRequests = new ArrayList<>();

  /** Tasks that workers were told to start, in that order. */
  final List<String> startedTasks = new ArrayList<>();

  /** What peers answer, in CBOR, by path; null where nobody is there. */
  Function<String, byte[]> peerResponses = path -> null;

  /** What the cloud was asked to rent. */
  final List<String> rentalRequests = new ArrayList<>();

  boolean cloudUnavailable;

  /** The cloud does not tell its machine types, but answers everything else. */
  boolean machineTypesUnavailable;

  /** Requests that were made by another thread than the test's. */
  final BlockingQueue<Runnable> handedOverRequests = new LinkedBlockingQueue<>();

  private final Thread testThread = Thread.currentThread();
  private final Map<String, SimulatedWorker> workersByAddress = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<CannedResponse>> cannedResponses = new LinkedHashMap<>();

  // Texts

  static String resource(String name) {
    try (InputStream in =
        SimulatedCluster.class.getResourceAsStream("/compatibility/stored/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

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

  /** A job in the form in which users submit it and in which it is stored. */
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

  /** The stored form of a job that was submitted a second before the test begins. */
  static String openJob(String id, int tasks, String more) {
    return json("{'At':999000,'Spec':" + jobSpec(id, tasks, more) + "}");
  }

  static String openJob(String id, int tasks) {
    return openJob(id, tasks, "");
  }

  /** The text with every time of day in it, which has to be one of this run, replaced by T. */
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
    ControllerUnderTest node = new ControllerUnderTest(this, settings, seed);
    node.controller().start();
    return node;
  }

  /** Stores keys with their values, which take turns; the first gets version 2. */
  void put(String... keysAndValues) {
    for (int i = 0; i < keysAndValues.length; i += 2) {
      state.put(keysAndValues[i], parse(keysAndValues[i + 1]));
    }
  }

  /** A controller that follows another one: of versions, 2 and 3 are taken. */
  ControllerUnderTest startFollower(String... keysAndValues) {
    put("l/leader", OTHER_LEADER, "m/types", MACHINE_TYPES);
    put(keysAndValues);
    cloudUnavailable = true;
    ControllerUnderTest node = startController(settings("n-0"));
    loop.pass(1);
    return node;
  }

  /** A controller that has no peers, and leads at once. */
  ControllerUnderTest startLeader(String... keysAndValues) {
    put(keysAndValues);
    ControllerUnderTest node = startController(settings("n-0"));
    loop.pass(0.5);
    return node;
  }

  /**
   * A controller that reaches no peer and has found that the last leader's key is gone: of
   * versions, 2 to 4 are taken, and one after what else is stored.
   */
  ControllerUnderTest startCandidate(String name, String[] others, String... keysAndValues) {
    put("l/leader", OTHER_LEADER, "t/term", OTHER_LEADER, "m/types", MACHINE_TYPES);
    put(keysAndValues);
    ControllerUnderTest node = startController(settings(name, others));
    loop.pass(6);
    state.remove("l/leader");
    loop.pass(4);
    return node;
  }

  /** One more machine, which the cloud lists. */
  SimulatedWorker addMachine(String name, String zone) {
    String address = "10.1.0." + name.substring(name.indexOf('-') + 1) + ":9000";
    SimulatedWorker worker = new SimulatedWorker(this, name, address, zone);
    workersByAddress.put(address, worker);
    return worker;
  }

  /** The cloud does not list it, and nobody is there. */
  void removeMachine(SimulatedWorker worker) {
    worker.silent = true;
    workersByAddress.values().remove(worker);
  }

  // What the state service was sent

  /** Transactions, in the order in which they were sent. */
  List<String> sentTransactions() {
    String start = "POST /commit ";
    return stateRequests.stream()
        .filter(request -> request.startsWith(start))
        .map(request -> request.substring(start.length()))
        .toList();
  }

  /** The value that was last sent for a key, as it was sent; null when there was none. */
  String lastWrittenValue(String key) {
    String last = null;
    for (String commit : sentTransactions()) {
      for (JsonNode change : parse(commit).path("Then")) {
        if (key.equals(change.path("Set").asText())) {
          last = change.get("Data").toString();
          assertTrue(commit.contains("\"Data\":" + last), commit);
        }
      }
    }
    return last;
  }

  void assertSent(String request) {
    assertTrue(
        stateRequests.contains(json(request)),
        () -> request + " is not in " + lines(stateRequests));
  }

  void assertNotSent(String start) {
    assertTrue(
        stateRequests.stream().noneMatch(request -> request.startsWith(json(start))),
        () -> start + " is in " + lines(stateRequests));
  }

  private static String lines(List<String> requests) {
    return "\n" + String.join("\n", requests);
  }

  // What is answered

  /** The next requests that begin like this are answered so, and not carried out. */
  void respondTo(String start, CannedResponse... answers) {
    cannedResponses
        .computeIfAbsent(json(start), s -> new ArrayDeque<>())
        .addAll(Arrays.asList(answers));
  }

  private CannedResponse nextCannedResponse(String request) {
    return cannedResponses.entrySet().stream()
        .filter(entry -> request.startsWith(entry.getKey()))
        .map(entry -> entry.getValue().poll())
        .filter(answer -> answer != null)
        .findFirst()
        .orElse(null);
  }

  void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback then) {
    if (Thread.currentThread() != testThread) {
      handedOverRequests.add(() -> send(to, method, path, body, timeoutS, then));
      return;
    }
    String address = to.toString();
    String text = body == null ? "" : new String(body, StandardCharsets.UTF_8);
    if (address.equals(STATE_SERVICE)) {
      String request = body == null ? method + " " + path : method + " " + path + " " + text;
      stateRequests.add(request);
      CannedResponse instead = nextCannedResponse(request);
      if (instead == null) {
        state.send(to, method, path, body, timeoutS, then);
      } else {
        respondAfter(
            instead.status() == 0 ? timeoutS : MESSAGE_DELAY_S, then, instead.toResponse());
      }
    } else if (address.equals(CLOUD)) {
      respondAfter(CLOUD_DELAY_S, then, cloudResponse(path, text).toResponse());
    } else if (workersByAddress.containsKey(address)) {
      SimulatedWorker worker = workersByAddress.get(address);
      if (worker.silent) {
        respondAfter(timeoutS, then, new CannedResponse(0, "").toResponse());
      } else {
        respondAfter(MESSAGE_DELAY_S, then, worker.handleCommands(parse(text)).toResponse());
      }
    } else {
      byte[] answer = peerResponses.apply(path);
      respondAfter(
          MESSAGE_DELAY_S,
          then,
          answer == null ? new CannedResponse(-1, "").toResponse() : new Response(200, answer));
    }
  }

  private void respondAfter(double seconds, Response.Callback then, Response answer) {
    loop.schedule(seconds, () -> then.onResponse(answer));
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
