import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * A small deployment on the loopback interface and the real clock: three controllers as processes,
 * stand-ins of the state service, the cloud and the workers, and users. The figures are those of
 * the site xela-resultados.
 */
final class World {
  /** The script must end on its own within 120 s. */
  private static final double MAX_S = 116;

  final double reportS = 3;
  final double leaseS = 26;
  final double listLagS = 4;
  final String type = "volcan-16";
  final double cpus = 16;
  final double memoryGb = 32;
  final double fetchS = 0.3;
  final List<String> machineZones;
  final Judge judge = new Judge();
  final List<Node> nodes = new ArrayList<>();
  final Set<String> released = ConcurrentHashMap.newKeySet();
  final ToDoubleFunction<String> runtimeS;
  final StateService state;
  final Cloud cloud;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder;
  private int nextNode;

  World(List<String> machineZones, ToDoubleFunction<String> runtimeS) throws IOException {
    this.machineZones = machineZones;
    this.runtimeS = runtimeS;
    this.folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
    Thread watchdog =
        new Thread(
            () -> {
              Worker.pause(MAX_S);
              Log.line("RESULT: the case could not run to its end in time");
              Runtime.getRuntime().exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    Log.line("TROUBLE=%s", trouble ? 1 : 0);
    this.state = new StateService();
    this.cloud = new Cloud(this);
    Path root = Path.of(System.getProperty("root")).toAbsolutePath();
    for (int i = 0; i < 3; i++) {
      nodes.add(new Node("cadre-" + i, Http.freePort(), Http.freePort(), root, folder));
    }
    for (Node node : nodes) {
      Files.write(node.settings(), Http.JSON.writeValueAsBytes(settings(node)));
    }
  }

  private void cleanUp() {
    for (Node node : nodes) {
      try {
        node.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      System.out.println("kept: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.out.println("temporary folder not removed: " + e);
    }
  }

  private ObjectNode settings(Node node) {
    ObjectNode settings =
        Http.object()
            .put("node", node.name)
            .put("area", "sala-centro")
            .put("serve_on", node.address())
            .put("peer_bind", node.peerAddress());
    ArrayNode peers = settings.putArray("peers");
    for (Node peer : nodes) {
      if (peer != node) {
        peers
            .addObject()
            .put("node", peer.name)
            .put("area", "sala-centro")
            .put("addr", peer.peerAddress());
      }
    }
    settings
        .putObject("services")
        .put("cloud", "127.0.0.1:" + cloud.port)
        .put("state", "127.0.0.1:" + state.port);
    ObjectNode cluster = settings.putObject("cluster").put("initial_size", 3);
    cluster.putArray("zones").add("estadio-norte").add("sala-centro").add("zona-4");
    ArrayNode teams = cluster.putArray("teams");
    for (String team : List.of("cronometristas", "registro-clubes", "patrocinios")) {
      teams
          .addObject()
          .put("name", team)
          .put("cpus", 0.0)
          .put("cpus_max", 0.0)
          .put("gpus", 0.0)
          .put("gpus_max", 0.0);
    }
    cluster.putObject("workers").put("report_s", reportS).put("lease_s", leaseS).put("cancel_s", 51.0);
    cluster
        .putObject("state")
        .put("rps", 250.0)
        .put("write_rps", 100.0)
        .put("value_kb", 16.0)
        .put("txn_ops", 32);
    cluster.putObject("cloud").put("rps", 4.0).put("list_lag_s", listLagS);
    cluster.putObject("limits").put("core_share", 0.34).put("memory_mb", 263.0).put("sockets", 2500);
    cluster.put("clock_off_ms", 100.0);
    return settings;
  }

  int indexOf(String node) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).name.equals(node)) {
        return i;
      }
    }
    return -1;
  }

  void startControllers() throws IOException {
    for (Node node : nodes) {
      node.start();
    }
  }

  /** Returns the controller that leads; waits for one. */
  Node leader() {
    Node[] found = new Node[1];
    await("a controller leads", 30, () -> {
      found[0] = nodes.stream().filter(Node::isLeading).findFirst().orElse(null);
      return found[0] != null;
    });
    Log.line("controller %s leads", found[0].name);
    return found[0];
  }

  static ObjectNode job(String id, String jobClass, String team, String urgency, int legs, double cores) {
    ObjectNode job =
        Http.object()
            .put("Uid", id)
            .put("RouteKind", jobClass)
            .put("Crew", team)
            .put("Shape", "array")
            .put("Urgency", urgency)
            .put("Legs", legs)
            .put("Cores", cores)
            .put("Accelerators", 0.0)
            .put("RamGb", Math.max(0.1, cores))
            .put("Kit", "img-07")
            .put("ImageGb", 0.2);
    job.putNull("Rigs");
    job.putNull("Depot");
    return job.put("SamePlace", false)
        .put("Spread", false)
        .put("Loaner", true)
        .put("EtaS", 30.0)
        .put("WaypointS", 0.0)
        .put("StashS", 0.0)
        .putNull("CutoffS");
  }

  /** Submits a job, with repetitions as the protocol describes them. */
  void submit(ObjectNode job) {
    judge.submitted(job);
    String id = job.get("Uid").asText();
    await("job " + id + " is accepted", 60, () -> {
      Http.Reply reply = Http.send("POST", node(), "/work", job, 5);
      Log.line("user submits %s -> %d %s", id, reply.status(), reply.body());
      if (reply.status() == 201 || reply.status() == 200) {
        return true;
      }
      Worker.pause(1);
      return false;
    });
  }

  /** Asks for a job's status; returns the answer, or an empty text if there is none. */
  String poll(String id) {
    Http.Reply reply = Http.send("GET", node(), "/work/" + id, (byte[]) null, 2);
    return reply.status() == 200 ? reply.body().path("Status").asText() : "";
  }

  private String node() {
    for (int i = 0; i < nodes.size(); i++) {
      Node node = nodes.get(nextNode++ % nodes.size());
      if (node.isAlive()) {
        return node.address();
      }
    }
    throw new IllegalStateException("no controller runs");
  }

  /** Waits until a condition holds; ends the script with 2 if it does not. */
  static void await(String what, double withinS, BooleanSupplier condition) {
    double end = Log.now() + withinS;
    while (!condition.getAsBoolean()) {
      if (Log.now() > end) {
        Log.line("RESULT: the case could not run: not in time: %s", what);
        Runtime.getRuntime().exit(2);
      }
      Worker.pause(0.05);
    }
    Log.line("reached: %s", what);
  }

  /** Ends the script with 1 if a rule was broken, otherwise with 0. */
  void finish() {
    Log.line("RESULT: %s", judge.violations.isEmpty() ? "the rules held" : "a rule was broken");
    judge.violations.forEach(text -> Log.line("  %s", text));
    Runtime.getRuntime().exit(judge.violations.isEmpty() ? 0 : 1);
  }
}
