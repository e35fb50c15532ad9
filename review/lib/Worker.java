import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** A stand-in of the worker of one machine, as PROTOCOL describes it. */
final class Worker {
  /** A direct command message that arrived: its body, and the time at which it came. */
  record Received(JsonNode body, double at) {}

  private static final class Leg {
    final String task;
    final long attempt;
    String state = "fetching";
    String cause;
    double until;

    Leg(String task, long attempt) {
      this.task = task;
      this.attempt = attempt;
    }

    boolean ended() {
      return state.equals("ended");
    }
  }

  final String name;
  final String type;
  final String zone;
  final boolean spot;
  final int port;

  /** The direct commands that were executed. */
  final List<Received> executed = new ArrayList<>();

  /** The bodies of the reports that were answered. */
  final List<byte[]> reports = new ArrayList<>();

  /** Called before a direct command is answered; may sleep to hold the answer up. */
  volatile Consumer<JsonNode> beforeAnswer = body -> {};

  private final World world;
  private final double cpus;
  private final double memoryGb;
  private final ToDoubleFunction<String> runtimeS;
  private final HttpServer server;
  private final Map<String, Leg> legs = new LinkedHashMap<>();
  private final Random random = new Random();
  private volatile boolean gone;
  private long session = 1;
  private long tick;
  private long baton;
  private double leaseFrom = Log.now();
  private boolean changed;
  private int node;

  Worker(World world, String name, String type, String zone, boolean spot, double cpus, double memoryGb)
      throws IOException {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = cpus;
    this.memoryGb = memoryGb;
    this.runtimeS = world.runtimeS;
    this.port = Http.freePort();
    this.server = Http.serve(port, this::handle);
    Log.line("machine %s is up in %s, spot=%s", name, zone, spot);
    Http.THREADS.execute(this::runTasks);
    Http.THREADS.execute(this::sendReports);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** The machine stops with all that is on it. */
  synchronized void stop(String why) {
    if (!gone) {
      gone = true;
      Log.line("machine %s is gone: %s", name, why);
      legs.values().forEach(leg -> world.judge.leave(leg.task, name, "machine gone"));
      legs.clear();
      server.stop(0);
    }
  }

  private Http.Reply handle(String method, String path, Map<String, String> query, byte[] body)
      throws Exception {
    if (path.equals("/status")) {
      return new Http.Reply(200, report());
    }
    JsonNode message = Http.JSON.readTree(body);
    if (!message.has("Baton") || !message.has("Shift")) {
      return new Http.Reply(400, Http.object());
    }
    Http.Reply reply = execute(message);
    beforeAnswer.accept(message);
    return gone ? null : reply;
  }

  private synchronized Http.Reply execute(JsonNode message) {
    if (gone) {
      return null;
    }
    if (message.get("Baton").asLong() < baton || message.get("Shift").asLong() != session) {
      Log.line("machine %s refuses a message with token %s", name, message.get("Baton"));
      return new Http.Reply(409, report());
    }
    seen(message.get("Baton").asLong());
    if (message.path("Calls").size() > 0) {
      executed.add(new Received(message, Log.now()));
    }
    carryOut(message);
    return new Http.Reply(200, report());
  }

  private void seen(long token) {
    if (token > baton) {
      Log.line("machine %s sees token %d", name, token);
      baton = token;
      changed = true;
    }
  }

  private void carryOut(JsonNode message) {
    for (JsonNode call : message.path("Calls")) {
      String task = call.get("Leg").asText();
      long attempt = call.get("Lap").asLong();
      String key = task + "#" + attempt;
      Log.line("machine %s executes %s %s", name, call.get("Call").asText(), key);
      switch (call.get("Call").asText()) {
        case "launch" -> launch(key, task, attempt);
        case "kill" -> {
          Leg leg = legs.get(key);
          if (leg != null && !leg.ended()) {
            end(leg, "halted");
          }
        }
        default -> {
          Leg leg = legs.get(key);
          if (leg != null && leg.ended()) {
            legs.remove(key);
          }
        }
      }
    }
  }

  private void launch(String key, String task, long attempt) {
    if (legs.containsKey(key)) {
      return;
    }
    Leg leg = new Leg(task, attempt);
    legs.put(key, leg);
    changed = true;
    JsonNode job = world.judge.job(Judge.jobOf(task));
    if (job == null) {
      refuse(leg, "unknown");
      return;
    }
    double usedCpus = job.get("Cores").asDouble();
    double usedGb = job.get("RamGb").asDouble();
    for (Leg other : legs.values()) {
      if (other != leg && !other.ended()) {
        if (other.task.equals(task)) {
          refuse(leg, "in_use");
          return;
        }
        JsonNode otherJob = world.judge.job(Judge.jobOf(other.task));
        usedCpus += otherJob.get("Cores").asDouble();
        usedGb += otherJob.get("RamGb").asDouble();
      }
    }
    if (usedCpus > cpus + 1e-6 || usedGb > memoryGb + 1e-6) {
      refuse(leg, "no_room");
      return;
    }
    leg.until = Log.now() + world.fetchS;
  }

  private void refuse(Leg leg, String cause) {
    Log.line("machine %s refuses %s: %s", name, leg.task, cause);
    leg.state = "ended";
    leg.cause = cause;
  }

  private void end(Leg leg, String cause) {
    leg.state = "ended";
    leg.cause = cause;
    changed = true;
    world.judge.leave(leg.task, name, cause);
  }

  private void runTasks() {
    while (!gone) {
      synchronized (this) {
        double now = Log.now();
        if (now - leaseFrom > world.leaseS) {
          Log.line("machine %s: lease expired, session %d ends", name, session);
          legs.values().forEach(leg -> world.judge.leave(leg.task, name, "lease expired"));
          legs.clear();
          session++;
          leaseFrom = now;
          changed = true;
        }
        for (Leg leg : legs.values()) {
          if (leg.state.equals("fetching") && now >= leg.until) {
            leg.state = "running";
            leg.until =
                world.judge.isCompleted(leg.task) ? now : now + runtimeS.applyAsDouble(leg.task);
            changed = true;
            world.judge.start(leg.task, leg.attempt, name, zone);
          }
          if (leg.state.equals("running")
              && (now >= leg.until || world.released.contains(leg.task))) {
            world.judge.complete(leg.task);
            end(leg, "done");
          }
        }
      }
      pause(0.02);
    }
  }

  private synchronized ObjectNode report() {
    ObjectNode report =
        Http.object()
            .put("Cadre", name)
            .put("Address", address())
            .put("Rig", type)
            .put("Depot", zone)
            .put("Loaner", spot)
            .put("Shift", session)
            .put("Tick", ++tick)
            .put("Baton", baton);
    report.putNull("RecallS");
    ArrayNode array = report.putArray("Legs");
    for (Leg leg : legs.values()) {
      ObjectNode shown =
          array.addObject().put("Leg", leg.task).put("Lap", leg.attempt).put("Status", leg.state);
      if (leg.cause != null) {
        shown.put("Cause", leg.cause);
      }
    }
    return report;
  }

  private void sendReports() {
    while (!gone) {
      double sentAt = Log.now();
      long sentSession;
      byte[] body;
      synchronized (this) {
        changed = false;
        sentSession = session;
        body = report().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
      }
      Http.Reply reply = Http.send("POST", world.nodes.get(node).address(), "/v1/report", body, 4);
      double next = world.reportS * (0.75 + random.nextDouble() / 2);
      if (reply.status() == 200) {
        reports.add(body);
        answered(reply.body(), sentAt, sentSession);
      } else {
        String named = reply.status() == 421 ? reply.body().path("Dispatcher").asText("") : "";
        int target = world.indexOf(named);
        if (target >= 0 && target != node) {
          node = target;
          next = random.nextDouble() / 2;
        } else {
          node = (node + 1) % world.nodes.size();
          next = 1;
        }
        pause(next);
        continue;
      }
      while (!gone && Log.now() < sentAt + next && !(changed && Log.now() > sentAt + 0.5)) {
        pause(0.02);
      }
    }
  }

  private synchronized void answered(JsonNode answer, double sentAt, long sentSession) {
    if (gone || sentSession != session || answer.path("Baton").asLong(-1) < baton) {
      return;
    }
    seen(answer.get("Baton").asLong());
    leaseFrom = Math.max(leaseFrom, sentAt);
    carryOut(answer);
  }

  static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
