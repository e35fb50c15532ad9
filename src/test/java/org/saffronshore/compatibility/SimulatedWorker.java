package org.saffronshore.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of one machine: it sends a heartbeat every second and executes its commands. */
final class SimulatedWorker {
  private static final double HEARTBEAT_INTERVAL_S = 1;
  private static final long EPOCH = 1;

  /** The tasks of the launch commands that any worker of the cluster received, in that order. */
  private final List<String> startedTasks;

  private final SimulatedCluster cluster;
  private final String name;
  private final String address;
  private final String zone;

  /** The tasks in the worker's heartbeats, by task and attempt. */
  private final Map<String, ObjectNode> shownTasks = new LinkedHashMap<>();

  /** The tasks of the stop commands that this worker received. */
  final List<String> stoppedTasks = new ArrayList<>();

  /** Whether the worker neither sends heartbeats nor responds to commands. */
  boolean silent;

  /** Whether the cloud lists the machine as failed. */
  boolean listedAsFailed;

  private ControllerUnderTest controller;
  private long sequence;
  private long fencingToken;

  SimulatedWorker(SimulatedCluster cluster, String name, String address, String zone) {
    this.cluster = cluster;
    this.startedTasks = cluster.startedTasks;
    this.name = name;
    this.address = address;
    this.zone = zone;
  }

  /** Sends heartbeats to the given controller from now on. */
  void startHeartbeatsTo(ControllerUnderTest receiver) {
    controller = receiver;
    cluster.loop.schedule(HEARTBEAT_INTERVAL_S, this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    if (!silent) {
      controller.sendHeartbeat(heartbeat(fencingToken), this::execute);
    }
    cluster.loop.schedule(HEARTBEAT_INTERVAL_S, this::sendHeartbeat);
  }

  /** Returns the worker's next heartbeat with the given token as the highest that it has seen. */
  String heartbeat(long highestToken) {
    ObjectNode heartbeat =
        commonFields().put("Shift", EPOCH).put("Tick", ++sequence).put("Baton", highestToken);
    ArrayNode tasks = heartbeat.putArray("Legs");
    shownTasks.values().forEach(tasks::add);
    return heartbeat.toString();
  }

  /** Returns the machine's entry in the cloud's list. */
  ObjectNode cloudEntry() {
    return commonFields()
        .put("Uid", name)
        .put("Status", listedAsFailed ? "failed" : "running")
        .put("HeldS", 5);
  }

  private ObjectNode commonFields() {
    return SimulatedCluster.MAPPER
        .createObjectNode()
        .put("Cadre", name)
        .put("Address", address)
        .put("Rig", "big")
        .put("Depot", zone)
        .put("Loaner", true);
  }

  String name() {
    return name;
  }

  /**
   * Handles a message with direct commands. The status is 409 if its fencing token is too old or if
   * it is for another epoch.
   */
  SimulatedCluster.CannedResponse handleCommands(JsonNode message) {
    if (message.get("Baton").asLong() < fencingToken || message.get("Shift").asLong() != EPOCH) {
      return new SimulatedCluster.CannedResponse(409, heartbeat(fencingToken));
    }
    execute(message);
    return new SimulatedCluster.CannedResponse(200, heartbeat(fencingToken));
  }

  private void execute(JsonNode message) {
    fencingToken = Math.max(fencingToken, message.get("Baton").asLong());
    for (JsonNode call : message.get("Calls")) {
      String task = call.get("Leg").asText();
      long attempt = call.get("Lap").asLong();
      String key = task + "#" + attempt;
      switch (call.get("Call").asText()) {
        case "launch" -> startTask(key, task, attempt);
        case "kill" -> {
          stoppedTasks.add(task);
          endTask(task, "halted");
        }
        default -> shownTasks.remove(key);
      }
    }
  }

  private void startTask(String key, String task, long attempt) {
    if (!shownTasks.containsKey(key)) {
      startedTasks.add(task);
      shownTasks.put(
          key,
          SimulatedCluster.MAPPER
              .createObjectNode()
              .put("Leg", task)
              .put("Lap", attempt)
              .put("Status", "running"));
    }
  }

  /** Ends a running task with the given cause. */
  void endTask(String task, String cause) {
    for (ObjectNode shown : shownTasks.values()) {
      if (shown.get("Leg").asText().equals(task) && !shown.has("Cause")) {
        shown.put("Status", "ended").put("Cause", cause);
      }
    }
  }
}
