package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
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
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Address;
import org.saffronshore.http.Client;
import org.saffronshore.http.Request;
import org.saffronshore.http.Response;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/** Whole nodes on a manual clock, with fakes of everything around them. */
abstract class ClusterSimulation {
  static final double RUN_S = 20;

  double runS = RUN_S;

  /** Workers report once in this time. */
  double reportEveryS = 1;

  /** The same at random, around {@link #runS}. */
  boolean runsVary;

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);
  final Map<Address, FakeWorker> workers = new LinkedHashMap<>();
  final List<String> starts = new ArrayList<>();

  /** Tasks that have completed, on whichever machine. */
  final Set<String> completed = new LinkedHashSet<>();

  /** The latest life of each controller. */
  final Map<String, ControllerProcess> processes = new LinkedHashMap<>();

  /** The controller that a test speaks to. */
  ControllerProcess process;

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

  ControllerProcess inZoneApart;
  private int machines;
  private int lives;

  boolean apart(ControllerProcess node, FakeWorker worker) {
    return zoneApart != null
        && (node == inZoneApart) != zoneApart.equals(worker.report.get("Depot").asText());
  }

  /** A task has come onto a machine. */
  void started(FakeWorker worker, String task) {}

  /** One life of a controller: once killed, it neither hears nor is heard. */
  final class ControllerProcess implements Client {
    final Controller node;
    final String name;
    boolean dead;

    /** The state service refuses this one. */
    boolean refused;

    boolean withoutPeers;
    boolean withoutWorkers;
    double standsStillAfterACallFor;

    ControllerProcess(String name) throws InvalidFieldException {
      this(name, false);
    }

    ControllerProcess(String name, boolean withPeers) throws InvalidFieldException {
      this(name, withPeers, TestData.settingsJson());
    }

    ControllerProcess(String name, boolean withPeers, ObjectNode json)
        throws InvalidFieldException {
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
          new Controller(
              loop, Settings.parse(json), this, new Random(name.hashCode() + 31L * lives++));
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
        Response.Callback then) {
      if (dead) {
        return;
      }
      Response.Callback alive =
          answer -> {
            if (!dead) {
              then.onResponse(answer);
            }
          };
      if (to.host().equals("10.2.0.1")) {
        toState(to, method, path, body, timeoutS, alive);
      } else if (to.host().equals("10.2.0.2")) {
        loop.schedule(
            0.01,
            () -> alive.onResponse(cloudAway ? new Response(503, new byte[0]) : cloud(path, body)));
      } else if (workers.containsKey(to)) {
        toWorker(workers.get(to), body, timeoutS, alive);
      } else if (to.port() == 8081) {
        toPeer(to, method, path, body, timeoutS, alive);
      } else {
        loop.schedule(0.001, () -> alive.onResponse(Response.NOT_SENT));
      }
    }

    private void toState(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Response.Callback then) {
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
                loop.schedule(timeoutS, () -> then.onResponse(Response.LOST));
              } else {
                then.onResponse(answer);
              }
            });
      } else if (refused) {
        loop.schedule(0.001, () -> then.onResponse(new Response(503, new byte[0])));
      } else if (path.equals("/commit") && chance.nextDouble() < lateWrites) {
        state.held = (m, p) -> true;
        state.send(to, method, path, body, timeoutS, then);
        state.held = (m, p) -> false;
        loop.schedule(2 + 10 * chance.nextDouble(), state::deliverLate);
      } else {
        state.send(to, method, path, body, timeoutS, then);
      }
    }

    private void toWorker(FakeWorker worker, byte[] body, double timeoutS, Response.Callback then) {
      commandsInFlight++;
      maxCommandsInFlight = Math.max(maxCommandsInFlight, commandsInFlight);
      Once once =
          new Once(
              timeoutS,
              answer -> {
                commandsInFlight--;
                then.onResponse(answer);
              });
      boolean late = chance.nextDouble() < lateCommands;
      if (!worker.unresponsive && !withoutWorkers && !apart(this, worker)) {
        loop.schedule(
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
        Response.Callback then) {
      ControllerProcess peer =
          processes.values().stream()
              .filter(p -> peerAddress(p.name).equals(to.toString()))
              .findFirst()
              .orElse(null);
      if (peer == null || peer.dead) {
        loop.schedule(0.001, () -> then.onResponse(Response.NOT_SENT));
        return;
      }
      Once once = new Once(timeoutS, then);
      loop.schedule(
          0.001 + 0.02 * chance.nextDouble(),
          () -> {
            if (!withoutPeers && !peer.withoutPeers && !peer.dead) {
              peer.node.handlePeer(
                  new Request(method, path, body),
                  (code, type, bytes, retryAfterS) ->
                      loop.schedule(
                          0.001 + 0.02 * chance.nextDouble(),
                          () -> {
                            if (!withoutPeers && !peer.withoutPeers) {
                              once.receive(new Response(code, bytes));
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
            assertEquals(status, code, new String(bytes, UTF_8));
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
    private final Response.Callback then;

    Once(double timeoutS, Response.Callback then) {
      this.then = then;
      loop.schedule(timeoutS, () -> receive(Response.LOST));
    }

    void receive(Response answer) {
      if (!told) {
        told = true;
        then.onResponse(answer);
      }
    }
  }

  /** One more machine, as if rented by itself. */
  FakeWorker machine(String zone) {
    String host = "10.1." + machines / 250 + "." + machines % 250;
    FakeWorker worker = new FakeWorker(this, "host-" + machines++, host + ":9000", zone);
    workers.put(new Address(host, 9000), worker);
    return worker;
  }

  /** The machine and everything on it is gone. */
  void dies(FakeWorker worker) {
    worker.gone = true;
    workers.values().remove(worker);
  }

  private Response cloud(String path, byte[] body) {
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
        return new Response(503, Json.bytes(Json.object().put("error", "no capacity")));
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
    return new Response(200, Json.bytes(answer));
  }
}
