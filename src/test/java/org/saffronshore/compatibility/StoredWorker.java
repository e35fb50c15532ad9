package org.saffronshore.compatibility;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker of one machine: it reports once in a second, and does what it is told. */
final class StoredWorker {
  private static final double REPORT_S = 1;
  private static final long SESSION = 1;

  /** Tasks that workers were told to start, in that order. */
  private final List<String> started;

  private final StoredCluster cluster;
  private final String name;
  private final String address;
  private final String zone;

  /** What it shows of its tasks, by task and attempt. */
  private final Map<String, ObjectNode> tasks = new LinkedHashMap<>();

  /** Tasks that it was told to stop. */
  final List<String> stopped = new ArrayList<>();

  /** It neither reports nor answers. */
  boolean silent;

  /** The cloud says that it has failed. */
  boolean failed;

  private StoredNode controller;
  private long sequence;
  private long token;

  StoredWorker(StoredCluster cluster, String name, String address, String zone) {
    this.cluster = cluster;
    this.started = cluster.started;
    this.name = name;
    this.address = address;
    this.zone = zone;
  }

  /** From now on its reports go to a controller. */
  void reportTo(StoredNode node) {
    controller = node;
    cluster.loop.schedule(REPORT_S, this::send);
  }

  private void send() {
    if (!silent) {
      controller.report(report(token), this::obey);
    }
    cluster.loop.schedule(REPORT_S, this::send);
  }

  /** Its next report, as if that token was the highest that it knows. */
  String report(long highest) {
    ObjectNode report = place().put("Shift", SESSION).put("Tick", ++sequence).put("Baton", highest);
    ArrayNode shown = report.putArray("Legs");
    tasks.values().forEach(shown::add);
    return report.toString();
  }

  /** The machine in the cloud's list. */
  ObjectNode listed() {
    return place().put("Uid", name).put("Status", failed ? "failed" : "running").put("HeldS", 5);
  }

  private ObjectNode place() {
    return StoredCluster.MAPPER
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

  /** Answers a direct command; the status is 409 when it is not for this session. */
  StoredCluster.Canned command(JsonNode message) {
    if (message.get("Baton").asLong() < token || message.get("Shift").asLong() != SESSION) {
      return new StoredCluster.Canned(409, report(token));
    }
    obey(message);
    return new StoredCluster.Canned(200, report(token));
  }

  private void obey(JsonNode message) {
    token = Math.max(token, message.get("Baton").asLong());
    for (JsonNode call : message.get("Calls")) {
      String task = call.get("Leg").asText();
      long attempt = call.get("Lap").asLong();
      String key = task + "#" + attempt;
      switch (call.get("Call").asText()) {
        case "launch" -> start(key, task, attempt);
        case "kill" -> {
          stopped.add(task);
          end(task, "halted");
        }
        default -> tasks.remove(key);
      }
    }
  }

  private void start(String key, String task, long attempt) {
    if (!tasks.containsKey(key)) {
      started.add(task);
      tasks.put(
          key,
          StoredCluster.MAPPER
              .createObjectNode()
              .put("Leg", task)
              .put("Lap", attempt)
              .put("Status", "running"));
    }
  }

  /** A task that runs here ends. */
  void end(String task, String cause) {
    for (ObjectNode shown : tasks.values()) {
      if (shown.get("Leg").asText().equals(task) && !shown.has("Cause")) {
        shown.put("Status", "ended").put("Cause", cause);
      }
    }
  }
}
