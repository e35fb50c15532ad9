package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualLoop;
import org.saffronshore.Samples;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Address;
import org.saffronshore.http.Answer;
import org.saffronshore.http.Client;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.Json;

/** Whole nodes on a hand-moved clock, with stand-ins for everything around them. */
abstract class ClusterSimulation {
  static final double RUN_S = 20;

  /** A worker gives up on an answer after this time. */
  private static final double WORKER_PATIENCE_S = 4;

  double runS = RUN_S;

  /** Workers report once in this time. */
  double reportEveryS = 1;

  /** The same at random, around {@link #runS}. */
  boolean runsVary;

  final ManualLoop loop = new ManualLoop();
  final FakeStateService state = new FakeStateService(loop);
  final Map<Address, Worker> workers = new LinkedHashMap<>();
  final List<String> starts = new ArrayList<>();

  /** Tasks that have completed, on whichever machine. */
  final Set<String> completed = new LinkedHashSet<>();

  /** The latest life of each controller. */
  final Map<String, Process> processes = new LinkedHashMap<>();

  /** The controller that a test speaks to. */
  Process process;

  boolean cloudAway;
  int commandsInFlight;
  int maxCommandsInFlight;
  int maxMachines = Integer.MAX_VALUE;
  final Random chance = new Random(1);

  /**
   * Shares of what is sent: commands that arrive late, transactions carried out late, reports that
   * come again.
   */
  double lateCommands;

  double lateWrites;
  double lateReports;

  /**
   * A zone whose machines reach only this controller, which reaches nothing outside of it; null for
   * none.
   */
  String zoneApart;

  Process inZoneApart;
  private int machines;
  private int lives;

  private boolean apart(Process node, Worker worker) {
    return zoneApart != null
        && (node == inZoneApart) != zoneApart.equals(worker.report.get("Depot").asText());
  }

  /** A task has come onto a machine. */
  void started(Worker worker, String task) {}

  /** One life of a controller: once killed, it neither hears nor is heard. */
  final class Process implements Client {
    final Node node;
    final String name;
    boolean dead;

    /** The state service refuses this one. */
    boolean refused;

    boolean withoutPeers;
    boolean withoutWorkers;
    double standsStillAfterACallFor;

    Process(String name) throws InvalidField {
      this(name, false);
    }

    Process(String name, boolean withPeers) throws InvalidField {
      this(name, withPeers, Samples.settingsJson());
    }

    Process(String name, boolean withPeers, ObjectNode json) throws InvalidField {
      this.name = name;
      json.put("node", name);
      if (!withPeers) {
        json.putArray("peers");
      } else {
        // Samples name the peers of n-0; the others take its place among their own.
        ArrayNode peers = json.putArray("peers");
        for (int i = 0; i < 3; i++) {
          if (!name.equals("n-" + i)) {
            peers
                .addObject()
                .put("node", "n-" + i)
                .put("area", "a")
                .put("addr", peerAddress("n-" + i));
          }
        }
      }
      processes.put(name, this);
      node =
          new Node(loop, Settings.parse(json), this, new Random(name.hashCode() + 31L * lives++));
      node.start();
    }

    private static String peerAddress(String name) {
      return "10.0.0." + (1 + Integer.parseInt(name.substring(2))) + ":8081";
    }

    @Override
    public void send(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Answer.Receiver then) {
      if (dead) {
        return;
      }
      Answer.Receiver alive =
          answer -> {
            if (!dead) {
              then.receive(answer);
            }
          };
      if (to.host().equals("10.2.0.1")) {
        toState(to, method, path, body, timeoutS, alive);
      } else if (to.host().equals("10.2.0.2")) {
        loop.after(
            0.01,
            () -> alive.receive(cloudAway ? new Answer(503, new byte[0]) : cloud(path, body)));
      } else if (workers.containsKey(to)) {
        toWorker(workers.get(to), body, timeoutS, alive);
      } else if (to.port() == 8081) {
        toPeer(to, method, path, body, timeoutS, alive);
      } else {
        loop.after(0.001, () -> alive.receive(Answer.NOT_SENT));
      }
    }

    private void toState(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Answer.Receiver then) {
      if (path.startsWith("/changes")) {
        // A watch that is open waits while this node is refused, as it does in an outage.
        state.send(
            to,
            method,
            path,
            body,
            timeoutS,
            answer -> {
              if (refused || state.away.test("GET", "/changes")) {
                loop.after(timeoutS, () -> then.receive(Answer.LOST));
              } else {
                then.receive(answer);
              }
            });
      } else if (refused) {
        loop.after(0.001, () -> then.receive(new Answer(503, new byte[0])));
      } else if (path.equals("/commit") && chance.nextDouble() < lateWrites) {
        state.held = (m, p) -> true;
        state.send(to, method, path, body, timeoutS, then);
        state.held = (m, p) -> false;
        loop.after(2 + 10 * chance.nextDouble(), state::deliverLate);
      } else {
        state.send(to, method, path, body, timeoutS, then);
      }
    }

    private void toWorker(Worker worker, byte[] body, double timeoutS, Answer.Receiver then) {
      commandsInFlight++;
      maxCommandsInFlight = Math.max(maxCommandsInFlight, commandsInFlight);
      Once once =
          new Once(
              timeoutS,
              answer -> {
                commandsInFlight--;
                then.receive(answer);
              });
      boolean late = chance.nextDouble() < lateCommands;
      if (!worker.unresponsive && !withoutWorkers && !apart(this, worker)) {
        loop.after(
            late ? 2 + 10 * chance.nextDouble() : 0.001,
            () ->
                worker.whenAwake(
                    () -> {
                      if (!worker.gone) {
                        once.receive(worker.command(Json.parse(body)));
                      }
                    }));
      }
      loop.standStill(standsStillAfterACallFor);
      standsStillAfterACallFor = 0;
    }

    private void toPeer(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Answer.Receiver then) {
      Process peer =
          processes.values().stream()
              .filter(p -> peerAddress(p.name).equals(to.toString()))
              .findFirst()
              .orElse(null);
      if (peer == null || peer.dead) {
        loop.after(0.001, () -> then.receive(Answer.NOT_SENT));
        return;
      }
      Once once = new Once(timeoutS, then);
      loop.after(
          0.001 + 0.02 * chance.nextDouble(),
          () -> {
            if (!withoutPeers && !peer.withoutPeers && !peer.dead) {
              peer.node
                  .peers()
                  .handle(
                      new Request(method, path, body),
                      (code, type, bytes, retryAfterS) ->
                          loop.after(
                              0.001 + 0.02 * chance.nextDouble(),
                              () -> {
                                if (!withoutPeers && !peer.withoutPeers) {
                                  once.receive(new Answer(code, bytes));
                                }
                              }));
            }
          });
    }

    JsonNode ask(String method, String path, JsonNode body, int status) {
      List<JsonNode> answers = new ArrayList<>();
      node.handle(
          new Request(method, path, body == null ? new byte[0] : Json.bytes(body)),
          (code, type, bytes, retryAfterS) -> {
            assertEquals(status, code, new String(bytes));
            answers.add(Json.parse(bytes));
          });
      for (int i = 0; i < 500 && answers.isEmpty(); i++) {
        loop.pass(0.01);
      }
      assertEquals(1, answers.size());
      return answers.get(0);
    }
  }

  /** Hands on an answer, or says that it was lost when none came in time. */
  final class Once {
    private boolean told;
    private final Answer.Receiver then;

    Once(double timeoutS, Answer.Receiver then) {
      this.then = then;
      loop.after(timeoutS, () -> receive(Answer.LOST));
    }

    void receive(Answer answer) {
      if (!told) {
        told = true;
        then.receive(answer);
      }
    }
  }

  /** A machine's worker as the protocol describes it. */
  final class Worker {
    final String id;
    final ObjectNode report = Json.object();
    final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
    long session = 1;
    long seq;
    long token;

    /** Its commands and the answers to its reports are lost. */
    boolean unresponsive;

    /** It reaches no controller. */
    boolean mute;

    boolean gone;
    double hangsUntil;

    /** When the last answered report was sent, or the session began. */
    private double leaseFrom = loop.now();

    private String reportsTo;
    private double nextReportAt;

    Worker(String id, String address, String zone) {
      this.id = id;
      report
          .put("Cadre", id)
          .put("Address", address)
          .put("Rig", "big")
          .put("Depot", zone)
          .put("Loaner", true);
      loop.after(1, this::send);
      loop.after(0.1, this::lease);
    }

    ObjectNode report() {
      ArrayNode legs =
          report.put("Shift", session).put("Tick", ++seq).put("Baton", token).putArray("Legs");
      tasks.values().forEach(t -> legs.add(t.deepCopy()));
      return report;
    }

    /** Runs an action at once, or when the machine goes on. */
    void whenAwake(Runnable action) {
      if (loop.now() < hangsUntil) {
        loop.after(hangsUntil - loop.now(), () -> whenAwake(action));
      } else {
        action.run();
      }
    }

    private void lease() {
      if (gone) {
        return;
      }
      if (loop.now() > leaseFrom + Samples.LEASE_S) {
        tasks.clear();
        session++;
        leaseFrom = loop.now();
      }
      loop.after(0.1, this::lease);
    }

    void send() {
      if (gone) {
        return;
      }
      if (loop.now() < hangsUntil) {
        loop.after(hangsUntil - loop.now() + 0.01, this::send);
        return;
      }
      double sentAt = loop.now();
      long sentIn = session;
      byte[] body = Json.bytes(report());
      nextReportAt = Math.max(nextReportAt, sentAt + reportEveryS);
      boolean[] answered = new boolean[1];
      Process to = processes.get(reportsTo);
      if (to != null && !to.dead && !mute && !to.withoutWorkers && !apart(to, this)) {
        to.node.handle(
            new Request("POST", "/v1/report", body),
            (code, type, bytes, r) ->
                whenAwake(
                    () -> {
                      if (!answered[0]
                          && !unresponsive
                          && !to.withoutWorkers
                          && !apart(to, this)
                          && loop.now() < sentAt + WORKER_PATIENCE_S) {
                        answered[0] = true;
                        heard(code, Json.parse(bytes), sentAt, sentIn);
                      }
                    }));
        if (chance.nextDouble() < lateReports) {
          loop.after(
              2 + 1.5 * Samples.LEASE_S * chance.nextDouble(),
              () -> {
                Process again = processes.get(to.name);
                if (!again.dead) {
                  again.node.handle(
                      new Request("POST", "/v1/report", body), (code, type, bytes, r) -> {});
                }
              });
        }
      } else if (to == null || to.dead) {
        answered[0] = true;
        next(1);
      }
      loop.after(
          WORKER_PATIENCE_S,
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              next(1);
            }
          });
    }

    private void heard(int code, JsonNode answer, double sentAt, long sentIn) {
      if (code == 200) {
        if (answer.path("Baton").asLong() >= token && sentIn == session) {
          leaseFrom = Math.max(leaseFrom, sentAt);
          command(answer);
        }
        loop.after(nextReportAt - loop.now(), this::send);
      } else if (code == 421
          && answer.has("Dispatcher")
          && !answer.get("Dispatcher").asText().equals(reportsTo)) {
        reportsTo = answer.get("Dispatcher").asText();
        loop.after(0.2, this::send);
      } else {
        next(1);
      }
    }

    private void next(double afterS) {
      List<String> names = new ArrayList<>(processes.keySet());
      reportsTo = names.get((names.indexOf(reportsTo) + 1) % names.size());
      loop.after(afterS, this::send);
    }

    Answer command(JsonNode message) {
      boolean otherSession = message.has("Shift") && message.get("Shift").asLong() != session;
      if (message.get("Baton").asLong() < token || otherSession) {
        return new Answer(409, Json.bytes(report()));
      }
      token = message.get("Baton").asLong();
      for (JsonNode c : message.get("Calls")) {
        String key = c.get("Leg").asText() + "#" + c.get("Lap").asLong();
        switch (c.get("Call").asText()) {
          case "launch" -> launch(key, c);
          case "kill" -> end(key, "halted");
          default -> tasks.remove(key);
        }
      }
      return new Answer(200, Json.bytes(report()));
    }

    private void launch(String key, JsonNode c) {
      if (!tasks.containsKey(key)) {
        String task = c.get("Leg").asText();
        starts.add(task);
        tasks.put(
            key,
            Json.object()
                .put("Leg", task)
                .put("Lap", c.get("Lap").asLong())
                .put("Status", "running"));
        started(this, task);
        ObjectNode entry = tasks.get(key);
        double lasts =
            completed.contains(task) ? 0.1 : runsVary ? runS * 2 * chance.nextDouble() : runS;
        loop.after(
            lasts,
            () ->
                whenAwake(
                    () -> {
                      if (tasks.get(key) == entry) {
                        end(key, "done");
                      }
                    }));
      }
    }

    void end(String key, String why) {
      if (tasks.containsKey(key) && !tasks.get(key).has("Cause")) {
        tasks.get(key).put("Status", "ended").put("Cause", why);
        if (why.equals("done")) {
          completed.add(tasks.get(key).get("Leg").asText());
        }
      }
    }

    /** The tasks that are on the machine, ended ones not counted. */
    List<String> holds() {
      return tasks.values().stream()
          .filter(t -> !t.has("Cause"))
          .map(t -> t.get("Leg").asText())
          .toList();
    }
  }

  /** One more machine, as if rented by itself. */
  Worker machine(String zone) {
    String host = "10.1." + machines / 250 + "." + machines % 250;
    Worker worker = new Worker("host-" + machines++, host + ":9000", zone);
    workers.put(new Address(host, 9000), worker);
    return worker;
  }

  /** The machine and everything on it is gone. */
  void dies(Worker worker) {
    worker.gone = true;
    workers.values().remove(worker);
  }

  private Answer cloud(String path, byte[] body) {
    ObjectNode answer = Json.object();
    if (path.equals("/machine_types")) {
      answer
          .putArray("Rigs")
          .addObject()
          .put("Label", "big")
          .put("Cores", 8)
          .put("RamGb", 64)
          .put("CacheGb", 50)
          .put("FetchGbPerS", 1)
          .put("Hourly", 2)
          .put("LowPrice", 1)
          .put("BootS", 4)
          .putArray("Depots")
          .add("a")
          .add("b");
    } else if (path.equals("/hosts")) {
      JsonNode order = Json.parse(body);
      int count = Math.min(order.get("Count").asInt(), maxMachines - workers.size());
      if (count <= 0) {
        return new Answer(503, Json.bytes(Json.object().put("error", "no capacity")));
      }
      ArrayNode names = answer.putArray("Cadres");
      for (; count > 0; count--) {
        names.add(machine(order.get("Depot").asText()).id);
      }
    } else if (path.equals("/hosts/return")) {
      Json.parse(body)
          .get("Cadres")
          .forEach(
              name ->
                  workers.values().stream()
                      .filter(w -> w.id.equals(name.asText()))
                      .findFirst()
                      .ifPresent(this::dies));
    } else if (path.startsWith("/hosts?")) {
      ArrayNode all = answer.putArray("Cadres");
      workers
          .values()
          .forEach(
              w ->
                  all.add(
                      w.report
                          .deepCopy()
                          .put("Uid", w.id)
                          .put("Status", "running")
                          .put("HeldS", 5)));
    }
    return new Answer(200, Json.bytes(answer));
  }
}
