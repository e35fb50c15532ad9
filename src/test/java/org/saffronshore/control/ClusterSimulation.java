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
import org.saffronshore.config.Address;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.Request;
import org.saffronshore.http.Response;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * Runs complete controllers on a manual clock, with fakes of the state service, cloud and workers.
 */
abstract class ClusterSimulation {
  static final double DEFAULT_RUNTIME_S = 20;

  double runtimeS = DEFAULT_RUNTIME_S;

  /** The interval at which workers send heartbeats, in seconds. */
  double heartbeatIntervalS = 1;

  /** Whether task runtimes are random, between 0 and twice {@link #runtimeS}. */
  boolean randomRuntimes;

  final ManualEventLoop loop = new ManualEventLoop();
  final FakeStateService state = new FakeStateService(loop);
  final Map<Address, FakeWorker> workers = new LinkedHashMap<>();

  /** Tasks in the order in which workers started them; a task that is started again is repeated. */
  final List<String> startedTasks = new ArrayList<>();

  /** Tasks that have completed on any machine. */
  final Set<String> completedTasks = new LinkedHashSet<>();

  /** The latest process of each controller, by the name of the controller. */
  final Map<String, ControllerProcess> processes = new LinkedHashMap<>();

  /** The controller process to which a test sends its requests. */
  ControllerProcess process;

  boolean cloudUnavailable;
  int commandsInFlight;
  int maxCommandsInFlight;
  int maxMachines = Integer.MAX_VALUE;
  final Random random = new Random(1);

  /** The fraction of the commands to workers that arrive late. */
  double delayedCommandShare;

  /** The fraction of the executed direct commands of which a copy arrives later. */
  double repeatedCommandShare;

  /** The fraction of the transactions that time out and are executed late. */
  double delayedCommitShare;

  /** The fraction of the heartbeats of which a duplicate arrives late. */
  double duplicatedHeartbeatShare;

  /** Copies of heartbeats that arrive only at the next leader. */
  final LateHeartbeats lateHeartbeats = new LateHeartbeats(loop, random);

  /**
   * A network-partitioned zone, or null: its machines reach only {@link #controllerInIsolatedZone},
   * which reaches no other machine.
   */
  String isolatedZone;

  ControllerProcess controllerInIsolatedZone;
  private int machineCount;
  private int processCount;

  /** Returns whether the partition separates a controller from a worker. */
  boolean isPartitioned(ControllerProcess controller, FakeWorker worker) {
    return isolatedZone != null
        && (controller == controllerInIsolatedZone)
            != isolatedZone.equals(worker.heartbeat.get("Depot").asText());
  }

  /** Called when a worker has started a task. */
  void onTaskStarted(FakeWorker worker, String task) {}

  /** One process of a controller. Once it has crashed, it neither receives nor sends anything. */
  final class ControllerProcess implements Client {
    final Controller controller;
    final String name;
    boolean crashed;

    /** Whether the state service refuses this controller's requests with status 503. */
    boolean refusedByStateService;

    boolean peersUnreachable;
    boolean workersUnreachable;

    /** How long this process is paused right after it sends its next command, in seconds. */
    double pauseAfterNextCommandS;

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
        // The sample settings list the peers of n-0; each controller needs a list without itself.
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
      controller =
          new Controller(
              loop, Settings.parse(json), this, new Random(name.hashCode() + 31L * processCount++));
      controller.start();
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
        Response.Callback receiver) {
      if (crashed) {
        return;
      }
      Response.Callback unlessCrashed =
          response -> {
            if (!crashed) {
              receiver.onResponse(response);
            }
          };
      if (to.host().equals("10.2.0.1")) {
        sendToStateService(to, method, path, body, timeoutS, unlessCrashed);
      } else if (to.host().equals("10.2.0.2")) {
        loop.schedule(
            0.01,
            () ->
                unlessCrashed.onResponse(
                    cloudUnavailable
                        ? new Response(503, new byte[0])
                        : respondAsCloud(path, body)));
      } else if (workers.containsKey(to)) {
        sendToWorker(workers.get(to), body, timeoutS, unlessCrashed);
      } else if (to.port() == 8081) {
        sendToPeer(to, method, path, body, timeoutS, unlessCrashed);
      } else {
        loop.schedule(0.001, () -> unlessCrashed.onResponse(Response.NOT_SENT));
      }
    }

    private void sendToStateService(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Response.Callback receiver) {
      if (path.startsWith("/changes")) {
        // An open watch gets no response while this controller is refused, as in an outage.
        state.send(
            to,
            method,
            path,
            body,
            timeoutS,
            response -> {
              if (refusedByStateService || state.unavailableFor.test("GET", "/changes")) {
                loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
              } else {
                receiver.onResponse(response);
              }
            });
      } else if (refusedByStateService) {
        loop.schedule(0.001, () -> receiver.onResponse(new Response(503, new byte[0])));
      } else if (path.equals("/commit") && random.nextDouble() < delayedCommitShare) {
        state.executionDelayed = (anyMethod, anyPath) -> true;
        state.send(to, method, path, body, timeoutS, receiver);
        state.executionDelayed = (anyMethod, anyPath) -> false;
        loop.schedule(2 + 10 * random.nextDouble(), state::executeDelayedRequests);
      } else {
        state.send(to, method, path, body, timeoutS, receiver);
      }
    }

    private void sendToWorker(
        FakeWorker worker, byte[] body, double timeoutS, Response.Callback receiver) {
      commandsInFlight++;
      maxCommandsInFlight = Math.max(maxCommandsInFlight, commandsInFlight);
      SingleResponse delivery =
          new SingleResponse(
              timeoutS,
              response -> {
                commandsInFlight--;
                receiver.onResponse(response);
              });
      boolean late = random.nextDouble() < delayedCommandShare;
      if (!worker.inboundMessagesLost && !workersUnreachable && !isPartitioned(this, worker)) {
        loop.schedule(
            late ? 2 + 10 * random.nextDouble() : 0.001,
            () ->
                worker.runWhenResponsive(
                    () -> {
                      if (!worker.removed) {
                        delivery.receive(worker.handleCommands(Json.parse(body)));
                      }
                    }));
      }
      loop.pauseProcess(pauseAfterNextCommandS);
      pauseAfterNextCommandS = 0;
    }

    private void sendToPeer(
        Address to,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Response.Callback receiver) {
      ControllerProcess peer =
          processes.values().stream()
              .filter(other -> peerAddress(other.name).equals(to.toString()))
              .findFirst()
              .orElse(null);
      if (peer == null || peer.crashed) {
        loop.schedule(0.001, () -> receiver.onResponse(Response.NOT_SENT));
        return;
      }
      SingleResponse delivery = new SingleResponse(timeoutS, receiver);
      loop.schedule(
          0.001 + 0.02 * random.nextDouble(),
          () -> {
            if (!peersUnreachable && !peer.peersUnreachable && !peer.crashed) {
              peer.controller.handlePeer(
                  new Request(method, path, body),
                  (status, type, bytes, retryAfterS) ->
                      loop.schedule(
                          0.001 + 0.02 * random.nextDouble(),
                          () -> {
                            if (!peersUnreachable && !peer.peersUnreachable) {
                              delivery.receive(new Response(status, bytes));
                            }
                          }));
            }
          });
    }

    /** Sends a user's request, asserts the status of the response and returns its body. */
    JsonNode request(String method, String path, JsonNode body, int status) {
      List<JsonNode> responses = new ArrayList<>();
      controller.handle(
          new Request(method, path, body == null ? new byte[0] : Json.bytes(body)),
          (actualStatus, type, bytes, retryAfterS) -> {
            assertEquals(status, actualStatus, new String(bytes, UTF_8));
            responses.add(Json.parse(bytes));
          });
      for (int i = 0; i < 500 && responses.isEmpty(); i++) {
        loop.advance(0.01);
      }
      assertEquals(1, responses.size());
      return responses.get(0);
    }
  }

  /**
   * Passes on the first response, or {@link Response#LOST} if there is none within the time limit.
   */
  final class SingleResponse {
    private boolean delivered;
    private final Response.Callback receiver;

    SingleResponse(double timeoutS, Response.Callback receiver) {
      this.receiver = receiver;
      loop.schedule(timeoutS, () -> receive(Response.LOST));
    }

    void receive(Response response) {
      if (!delivered) {
        delivered = true;
        receiver.onResponse(response);
      }
    }
  }

  /** Adds a machine that no controller has ordered. */
  FakeWorker addMachine(String zone) {
    String host = "10.1." + machineCount / 250 + "." + machineCount % 250;
    FakeWorker worker = new FakeWorker(this, "host-" + machineCount++, host + ":9000", zone);
    workers.put(new Address(host, 9000), worker);
    return worker;
  }

  /** Removes a machine and the tasks on it. */
  void removeMachine(FakeWorker worker) {
    worker.removed = true;
    workers.values().remove(worker);
  }

  private Response respondAsCloud(String path, byte[] body) {
    ObjectNode response = Json.object();
    if (path.equals("/machine_types")) {
      response
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
      ArrayNode names = response.putArray("Cadres");
      for (; count > 0; count--) {
        names.add(addMachine(order.get("Depot").asText()).id);
      }
    } else if (path.equals("/hosts/return")) {
      Json.parse(body)
          .get("Cadres")
          .forEach(
              name ->
                  workers.values().stream()
                      .filter(worker -> worker.id.equals(name.asText()))
                      .findFirst()
                      .ifPresent(this::removeMachine));
    } else if (path.startsWith("/hosts?")) {
      ArrayNode listed = response.putArray("Cadres");
      workers
          .values()
          .forEach(
              worker ->
                  listed.add(
                      worker
                          .heartbeat
                          .deepCopy()
                          .put("Uid", worker.id)
                          .put("Status", "running")
                          .put("HeldS", 5)));
    }
    return new Response(200, Json.bytes(response));
  }
}
