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
final class StoredCluster {
  static final ObjectMapper MAPPER = new ObjectMapper();

  /** What the cloud answers to a question for its machine types. */
  static final String TYPES = resource("machine-types.json");

  /** The incarnation of a controller whose generator has the usual seed. */
  static final String LIFE = "bb1ad57319b89cd8";

  static final long SEED = 1;

  /** Another controller leads, and has no part in what is tested. */
  static final String OTHER_LEADS = "{'Node':'n-2','Life':'2e','Term':6}";

  private static final String STATE = "10.2.0.1:2";
  private static final String CLOUD = "10.2.0.2:1";
  private static final double MESSAGE_S = 0.001;
  private static final double CLOUD_S = 0.01;
  private static final long START_MS = 1_000_000;
  private static final Pattern TIME = Pattern.compile("\"At\":(\\d+)");

  /** An answer with a body in JSON; status 0 means that it is lost, and -1 that nobody is there. */
  record Canned(int status, String body) {
    Response toAnswer() {
      return new Response(status, json(body).getBytes(StandardCharsets.UTF_8));
    }
  }

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);

  /** What the state service was sent, in that order: method, path and body. */
  final List<String> sent = new ArrayList<>();

  /** Tasks that workers were told to start, in that order. */
  final List<String> started = new ArrayList<>();

  /** What peers answer, in CBOR, by path; null where nobody is there. */
  Function<String, byte[]> peers = path -> null;

  /** What the cloud was asked to rent. */
  final List<String> rentals = new ArrayList<>();

  boolean cloudAway;

  /** The cloud does not tell its machine types, but answers everything else. */
  boolean typesAway;

  /** Requests that were made by another thread than the test's. */
  final BlockingQueue<Runnable> handedOver = new LinkedBlockingQueue<>();

  private final Thread owner = Thread.currentThread();
  private final Map<String, StoredWorker> machines = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<Canned>> canned = new LinkedHashMap<>();

  // Texts

  static String resource(String name) {
    try (InputStream in =
        StoredCluster.class.getResourceAsStream("/compatibility/stored/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String json(String text) {
    return text.replace('\'', '"');
  }

  static ObjectNode tree(String text) {
    try {
      return (ObjectNode) MAPPER.readTree(json(text));
    } catch (JsonProcessingException e) {
      throw new AssertionError(text, e);
    }
  }

  /** A job in the form in which users submit it and in which it is stored. */
  static String job(String id, int tasks, String more) {
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

  static String job(String id, int tasks) {
    return job(id, tasks, "");
  }

  /** The stored form of a job that was submitted a second before the test begins. */
  static String open(String id, int tasks, String more) {
    return json("{'At':999000,'Spec':" + job(id, tasks, more) + "}");
  }

  static String open(String id, int tasks) {
    return open(id, tasks, "");
  }

  /** The text with every time of day in it, which has to be one of this run, replaced by T. */
  String untimed(String text) {
    return TIME.matcher(text)
        .replaceAll(
            found -> {
              long at = Long.parseLong(found.group(1));
              assertTrue(at >= START_MS && at <= Math.round(loop.now() * 1000), text);
              return "\"At\":T";
            });
  }

  // Controllers and machines

  static ObjectNode settings(String node, String... peers) {
    ObjectNode settings = tree(resource("settings.json")).put("node", node);
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

  StoredNode start(JsonNode settings) {
    return start(settings, SEED);
  }

  StoredNode start(JsonNode settings, long seed) {
    StoredNode node = new StoredNode(this, settings, seed);
    node.node().start();
    return node;
  }

  /** Stores keys with their values, which take turns; the first gets version 2. */
  void put(String... keysAndValues) {
    for (int i = 0; i < keysAndValues.length; i += 2) {
      state.put(keysAndValues[i], tree(keysAndValues[i + 1]));
    }
  }

  /** A controller that follows another one: of versions, 2 and 3 are taken. */
  StoredNode follower(String... keysAndValues) {
    put("l/leader", OTHER_LEADS, "m/types", TYPES);
    put(keysAndValues);
    cloudAway = true;
    StoredNode node = start(settings("n-0"));
    loop.advance(1);
    return node;
  }

  /** A controller that has no peers, and leads at once. */
  StoredNode leader(String... keysAndValues) {
    put(keysAndValues);
    StoredNode node = start(settings("n-0"));
    loop.advance(0.5);
    return node;
  }

  /**
   * A controller that reaches no peer and has found that the last leader's key is gone: of
   * versions, 2 to 4 are taken, and one after what else is stored.
   */
  StoredNode candidate(String name, String[] others, String... keysAndValues) {
    put("l/leader", OTHER_LEADS, "t/term", OTHER_LEADS, "m/types", TYPES);
    put(keysAndValues);
    StoredNode node = start(settings(name, others));
    loop.advance(6);
    state.remove("l/leader");
    loop.advance(4);
    return node;
  }

  /** One more machine, which the cloud lists. */
  StoredWorker machine(String name, String zone) {
    String address = "10.1.0." + name.substring(name.indexOf('-') + 1) + ":9000";
    StoredWorker worker = new StoredWorker(this, name, address, zone);
    machines.put(address, worker);
    return worker;
  }

  /** The cloud does not list it, and nobody is there. */
  void gone(StoredWorker worker) {
    worker.silent = true;
    machines.values().remove(worker);
  }

  // What the state service was sent

  /** Transactions, in the order in which they were sent. */
  List<String> commits() {
    String start = "POST /commit ";
    return sent.stream()
        .filter(request -> request.startsWith(start))
        .map(request -> request.substring(start.length()))
        .toList();
  }

  /** The value that was last sent for a key, as it was sent; null when there was none. */
  String written(String key) {
    String last = null;
    for (String commit : commits()) {
      for (JsonNode change : tree(commit).path("Then")) {
        if (key.equals(change.path("Set").asText())) {
          last = change.get("Data").toString();
          assertTrue(commit.contains("\"Data\":" + last), commit);
        }
      }
    }
    return last;
  }

  void assertSent(String request) {
    assertTrue(sent.contains(json(request)), () -> request + " is not in " + lines(sent));
  }

  void assertNotSent(String start) {
    assertTrue(
        sent.stream().noneMatch(request -> request.startsWith(json(start))),
        () -> start + " is in " + lines(sent));
  }

  private static String lines(List<String> requests) {
    return "\n" + String.join("\n", requests);
  }

  // What is answered

  /** The next requests that begin like this are answered so, and not carried out. */
  void answer(String start, Canned... answers) {
    canned.computeIfAbsent(json(start), s -> new ArrayDeque<>()).addAll(Arrays.asList(answers));
  }

  private Canned cannedFor(String request) {
    return canned.entrySet().stream()
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
    if (Thread.currentThread() != owner) {
      handedOver.add(() -> send(to, method, path, body, timeoutS, then));
      return;
    }
    String address = to.toString();
    String text = body == null ? "" : new String(body, StandardCharsets.UTF_8);
    if (address.equals(STATE)) {
      String request = body == null ? method + " " + path : method + " " + path + " " + text;
      sent.add(request);
      Canned instead = cannedFor(request);
      if (instead == null) {
        state.send(to, method, path, body, timeoutS, then);
      } else {
        later(instead.status() == 0 ? timeoutS : MESSAGE_S, then, instead.toAnswer());
      }
    } else if (address.equals(CLOUD)) {
      later(CLOUD_S, then, cloud(path, text).toAnswer());
    } else if (machines.containsKey(address)) {
      StoredWorker worker = machines.get(address);
      if (worker.silent) {
        later(timeoutS, then, new Canned(0, "").toAnswer());
      } else {
        later(MESSAGE_S, then, worker.command(tree(text)).toAnswer());
      }
    } else {
      byte[] answer = peers.apply(path);
      later(
          MESSAGE_S,
          then,
          answer == null ? new Canned(-1, "").toAnswer() : new Response(200, answer));
    }
  }

  private void later(double seconds, Response.Callback then, Response answer) {
    loop.schedule(seconds, () -> then.onResponse(answer));
  }

  private Canned cloud(String path, String body) {
    if (cloudAway || (typesAway && path.equals("/machine_types"))) {
      return new Canned(503, "{}");
    } else if (path.equals("/machine_types")) {
      return new Canned(200, TYPES);
    } else if (path.startsWith("/hosts?")) {
      ObjectNode list = MAPPER.createObjectNode();
      ArrayNode listed = list.putArray("Cadres");
      machines.values().forEach(worker -> listed.add(worker.listed()));
      return new Canned(200, list.toString());
    } else if (path.equals("/hosts/return")) {
      List<String> names = new ArrayList<>();
      tree(body).get("Cadres").forEach(name -> names.add(name.asText()));
      machines.values().stream()
          .filter(worker -> names.contains(worker.name()))
          .toList()
          .forEach(this::gone);
      return new Canned(200, "{}");
    }
    rentals.add(body);
    return new Canned(503, "{'error':'no capacity'}");
  }
}
