package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment: controllers as processes of their own, and stand-ins for everything else. */
public final class Lab implements AutoCloseable {
  /** Sees the command messages that workers carry out. */
  public interface CommandListener {
    void carriedOut(Worker worker, ObjectNode body);
  }

  /** Sees the machines that controllers return. */
  public interface ReturnListener {
    void returned(String node, Worker worker, String machine);
  }

  public final Recorder recorder;
  public final Rules rules;
  public final StateService state;
  public final Cloud cloud;
  public final int nodes;
  public final List<String> zones;
  public final double reportS;
  public final double leaseS;
  public final double cancelS;
  public final Set<String> sick = ConcurrentHashMap.newKeySet();
  public final Gate[] stateGates;
  public final Gate[] cloudGates;
  /** The network between the workers and one controller's address for workers. */
  public final Gate[] workerGates;
  /** The network from one controller to another. */
  public final PeerLink[][] links;

  /** The machines whose return was asked for while the cloud's interface was down. */
  public final Set<String> cloudAsked = ConcurrentHashMap.newKeySet();

  public CommandListener onCommands = (worker, body) -> {};
  public ReturnListener onReturn = (node, worker, machine) -> {};
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final int[] ports;
  private final Process[] processes;
  private final Path[] settings;
  private final Path folder;
  private final List<String> command;

  /** The settings of a deployment. */
  public static final class Config {
    public int nodes = 3;
    public List<String> zones = List.of("sala-centro");
    public List<String> nodeZones = List.of("sala-centro", "sala-centro", "sala-centro");
    public double reportS = 3;
    public double leaseS = 26;
    public double cancelS = 51;
    public double rps = 250;
    public double writeRps = 100;
    public int txnOps = 32;
    public double cloudRps = 4;
    public double lagS = 4;
    public int sockets = 2500;
    /** The limits that the state service will have later: value_kb, txn_ops, write_rps; or null. */
    public double[] next;

    public Object[][] teams = {
      {"cronometristas", 0.0, 0.0}, {"patrocinios", 0.0, 0.0}, {"registro-clubes", 0.0, 0.0}
    };
    public List<Cloud.Type> types = List.of(new Cloud.Type("volcan-16", 16, 32, 0.69, 0.25, 40, 12));

    /** The deployment of the courier cooperatives. */
    public static Config mensajeria() {
      Config config = new Config();
      config.zones = List.of("santander", "bilbao", "oviedo");
      config.nodeZones = config.zones;
      config.leaseS = 36;
      config.cancelS = 66;
      config.rps = 150;
      config.writeRps = 50;
      config.txnOps = 12;
      config.cloudRps = 5;
      config.lagS = 6;
      config.sockets = 1500;
      config.teams =
          new Object[][] {
            {"despacho", 88.0, 250.0}, {"tesoreria", 64.0, 216.0}, {"seguros", 32.0, 88.0}
          };
      config.types =
          List.of(
              new Cloud.Type("ria-4", 4, 32, 0.32, 0.13, 40, 5),
              new Cloud.Type("cantabrico-16", 16, 32, 0.95, 0.37, 35, 3));
      return config;
    }
  }

  public Lab(Path recordFile, Config config) throws Exception {
    this.recorder = new Recorder(recordFile);
    this.nodes = config.nodes;
    this.zones = config.zones;
    this.reportS = config.reportS;
    this.leaseS = config.leaseS;
    this.cancelS = config.cancelS;
    this.rules = new Rules(recorder, cancelS);
    for (Object[] team : config.teams) {
      rules.limit((String) team[0], (Double) team[2]);
    }
    this.state = new StateService(recorder, config.rps, config.writeRps);
    this.cloud = new Cloud(this, config.types, config.lagS);
    this.folder = Files.createTempDirectory("lab");
    this.processes = new Process[nodes];
    this.settings = new Path[nodes];
    this.ports = new int[nodes];
    this.stateGates = new Gate[nodes];
    this.cloudGates = new Gate[nodes];
    this.workerGates = new Gate[nodes];
    this.links = new PeerLink[nodes][nodes];
    int[] peerPorts = new int[nodes];
    for (int i = 0; i < nodes; i++) {
      ports[i] = freePort();
      peerPorts[i] = freePort();
    }
    for (int i = 0; i < nodes; i++) {
      for (int j = 0; j < nodes; j++) {
        if (i != j) {
          links[i][j] = new PeerLink(peerPorts[j]);
        }
      }
    }
    for (int i = 0; i < nodes; i++) {
      stateGates[i] = new Gate(nodeName(i));
      cloudGates[i] = new Gate(nodeName(i));
      workerGates[i] = new Gate(nodeName(i));
      int statePort = state.serve(stateGates[i]).getAddress().getPort();
      int cloudPort = cloud.serve(cloudGates[i]).getAddress().getPort();
      settings[i] = folder.resolve("settings-" + i + ".json");
      Files.write(
          settings[i],
          Http.JSON.writeValueAsBytes(settingsOf(config, i, peerPorts, statePort, cloudPort)));
    }
    String run =
        Files.readAllLines(Path.of("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .findFirst()
            .orElseThrow();
    this.command =
        Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /**
   * Returns a free port below those that the system gives to outgoing connections. Cases that run
   * side by side take ports of different ranges, so that none meets a controller of another one.
   */
  private static int freePort() throws Exception {
    int first = 12_000 + (int) (ProcessHandle.current().pid() % 1000) * 20;
    while (nextPort < 20) {
      int port = first + nextPort++;
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (IOException taken) {
        // The next port is tried.
      }
    }
    throw new IllegalStateException("no free port");
  }

  private static int nextPort;

  public static String nodeName(int node) {
    return "cadre-" + node;
  }

  public int nodeNamed(String name) {
    for (int i = 0; i < nodes; i++) {
      if (nodeName(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  private ObjectNode settingsOf(
      Config config, int node, int[] peerPorts, int statePort, int cloudPort) {
    ObjectNode root =
        Http.JSON
            .createObjectNode()
            .put("node", nodeName(node))
            .put("area", config.nodeZones.get(node))
            .put("serve_on", "127.0.0.1:" + ports[node])
            .put("peer_bind", "127.0.0.1:" + peerPorts[node]);
    ArrayNode peers = root.putArray("peers");
    for (int j = 0; j < nodes; j++) {
      if (j != node) {
        peers
            .addObject()
            .put("node", nodeName(j))
            .put("area", config.nodeZones.get(j))
            .put("addr", "127.0.0.1:" + links[node][j].port());
      }
    }
    root.putObject("services")
        .put("cloud", "127.0.0.1:" + cloudPort)
        .put("state", "127.0.0.1:" + statePort);
    ObjectNode cluster = root.putObject("cluster").put("initial_size", nodes);
    ArrayNode zoneArray = cluster.putArray("zones");
    zones.forEach(zoneArray::add);
    ArrayNode teams = cluster.putArray("teams");
    for (Object[] team : config.teams) {
      teams
          .addObject()
          .put("name", (String) team[0])
          .put("cpus", (Double) team[1])
          .put("cpus_max", (Double) team[2])
          .put("gpus", 0.0)
          .put("gpus_max", 0.0);
    }
    cluster.putArray("objectives");
    cluster
        .putObject("workers")
        .put("report_s", reportS)
        .put("lease_s", leaseS)
        .put("gang_wait_s", 50.0)
        .put("gang_peer_s", 6.0)
        .put("cancel_s", cancelS);
    cluster
        .putObject("state")
        .put("rps", config.rps)
        .put("write_rps", config.writeRps)
        .put("value_kb", 16.0)
        .put("txn_ops", config.txnOps);
    if (config.next != null) {
      ((ObjectNode) cluster.get("state"))
          .putObject("next")
          .put("value_kb", config.next[0])
          .put("txn_ops", (int) config.next[1])
          .put("write_rps", config.next[2]);
    }
    cluster.putObject("cloud").put("rps", config.cloudRps).put("list_lag_s", config.lagS);
    cluster
        .putObject("limits")
        .put("core_share", 0.34)
        .put("memory_mb", 263.0)
        .put("sockets", config.sockets);
    cluster.put("clock_off_ms", 100.0);
    return root;
  }

  // Controllers

  public void start(int node) throws Exception {
    List<String> arguments = new ArrayList<>(command);
    arguments.add(settings[node].toString());
    ProcessBuilder builder = new ProcessBuilder(arguments);
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LAB_LOG", "info"));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + node).toFile()));
    processes[node] = builder.start();
    recorder.log("%s started", nodeName(node));
  }

  public void startAll() throws Exception {
    for (int i = 0; i < nodes; i++) {
      start(i);
    }
    double until = recorder.now() + 30;
    while (recorder.now() < until) {
      int healthy = 0;
      for (int i = 0; i < nodes; i++) {
        if (!processes[i].isAlive()) {
          throw new IllegalStateException(nodeName(i) + " has ended");
        }
        healthy += isHealthy(i) ? 1 : 0;
      }
      if (healthy == nodes && leader() >= 0) {
        recorder.log("all controllers are healthy, %s leads", nodeName(leader()));
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException("the controllers did not become healthy");
  }

  public boolean isHealthy(int node) {
    return Http.send(ports[node], "GET", "/healthz", null, 1).status() == 200;
  }

  public void kill(int node) throws Exception {
    processes[node].destroyForcibly().waitFor();
    recorder.log("%s killed", nodeName(node));
  }

  /** Stops a controller without ending it, or continues it. */
  public void freeze(int node, boolean on) throws Exception {
    new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(processes[node].pid()))
        .start()
        .waitFor();
    recorder.log("%s %s", nodeName(node), on ? "stands still" : "goes on");
  }

  public boolean isAlive(int node) {
    return processes[node].isAlive();
  }

  /** Returns the controller that the leader key names, or -1. */
  public int leader() {
    JsonNode key = state.value("l/leader");
    return key == null ? -1 : nodeNamed(key.path("Node").asText());
  }

  public long term() {
    JsonNode key = state.value("l/leader");
    return key == null ? -1 : key.path("Term").asLong();
  }

  // Users

  public Http.Answer toNode(int node, String method, String path, Object body, double timeoutS) {
    return Http.send(ports[node], method, path, body, timeoutS);
  }

  /** Submits a job once at one controller. */
  public Http.Answer submit(int node, Job job) {
    jobs.put(job.id, job);
    rules.known(job);
    Http.Answer answer = toNode(node, "POST", "/work", job.toJson(), 5);
    recorder.log("user submits %s at %s: %s", job.id, nodeName(node), answer);
    return answer;
  }

  /** Submits a job until it is accepted, as users do. */
  public boolean submitUntilAccepted(Job job, int firstNode) throws Exception {
    double until = recorder.now() + 60;
    int node = firstNode;
    while (recorder.now() < until) {
      Http.Answer answer = submit(node, job);
      if (answer.status() == 200 || answer.status() == 201) {
        return true;
      }
      node = (node + 1) % nodes;
      Thread.sleep(1000);
    }
    return false;
  }

  /** Polls a job once; returns its status, "404", or null if there is no other answer. */
  public String poll(int node, Job job) {
    String finalBefore = rules.finalAnswer(job.id);
    double askedAt = recorder.now();
    Http.Answer answer = toNode(node, "GET", "/work/" + job.id, null, 2);
    if (answer.status() == 404) {
      recorder.log("user polls %s at %s: 404", job.id, nodeName(node));
      rules.breach("forgotten", job.id + " is answered 404");
      return "404";
    }
    if (answer.status() != 200 || answer.body() == null) {
      return null;
    }
    String status = answer.body().path("Status").asText();
    rules.told(job, status, askedAt, finalBefore);
    return status;
  }

  public String cancel(int node, Job job) {
    rules.cancelAsked(job.id);
    String finalBefore = rules.finalAnswer(job.id);
    double askedAt = recorder.now();
    Http.Answer answer = toNode(node, "POST", "/work/" + job.id + "/cancel", Map.of(), 5);
    recorder.log("user cancels %s at %s: %s", job.id, nodeName(node), answer);
    if (answer.status() == 404) {
      rules.breach("forgotten", job.id + " is answered 404");
    }
    if (answer.status() != 200 || answer.body() == null) {
      return null;
    }
    String status = answer.body().path("Status").asText();
    rules.told(job, status, askedAt, finalBefore);
    return status;
  }

  Job job(String task) {
    int slash = task.indexOf('/');
    Job job = jobs.get(task.substring(0, slash));
    return job == null || Integer.parseInt(task.substring(slash + 1)) >= job.tasks ? null : job;
  }

  void returned(String node, Worker worker, String machine) {
    onReturn.returned(node, worker, machine);
  }

  /** Sends a worker's report; a report that the network holds is delivered late. */
  Http.Answer report(int node, ObjectNode report) {
    Gate gate = workerGates[node];
    if (gate.mode() == Gate.Mode.REFUSE) {
      return new Http.Answer(0, null);
    }
    if (gate.mode() == Gate.Mode.HOLD) {
      Http.THREADS.execute(
          () -> {
            try {
              gate.pass();
              toNode(node, "POST", "/v1/report", report, 4);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      try {
        Thread.sleep(4000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return new Http.Answer(0, null);
    }
    Http.Answer answer = toNode(node, "POST", "/v1/report", report, 4);
    return gate.mode() == Gate.Mode.OPEN ? answer : new Http.Answer(0, null);
  }

  /** Reports of more than 64 KiB, and those of them that were not answered with 200. */
  public final AtomicInteger longReports = new AtomicInteger();

  public final AtomicInteger longReportsRefused = new AtomicInteger();

  void reported(Worker worker, ObjectNode report, Http.Answer answer) {
    int tasks = report.get("Legs").size();
    int length = tasks < 500 ? 0 : report.toString().length();
    if (length > 64 * 1024) {
      longReports.incrementAndGet();
      if (answer.status() != 200) {
        longReportsRefused.incrementAndGet();
      }
      recorder.log("%s reports %d tasks in %d bytes: %d", worker.id, tasks, length, answer.status());
    }
  }

  /** Chooses whether a copy of a message arrives once more, and after how many seconds; 0: none. */
  public interface Copies {
    double copyAfterS(String kind);
  }

  public Copies copies = kind -> 0;

  public Path log(int node) {
    return folder.resolve("log-" + node);
  }

  private void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    killAll();
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    String keep = System.getenv("LAB_KEEP");
    if (keep != null) {
      try {
        Path target = Path.of(keep);
        Files.createDirectories(target);
        for (int i = 0; i < nodes; i++) {
          Files.copy(log(i), target.resolve("log-" + i), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
      } catch (Exception e) {
        recorder.log("cannot keep logs: %s", e);
      }
    }
    File[] files = folder.toFile().listFiles();
    if (files != null) {
      for (File file : files) {
        file.delete();
      }
    }
    folder.toFile().delete();
    recorder.close();
  }
}
