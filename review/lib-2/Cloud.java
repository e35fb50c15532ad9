package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, with a port and a gate for each controller. */
public final class Cloud {
  /** A machine type with the capacity of each zone, for spot and for ordinary machines. */
  public record Type(
      String name, double cores, double ram, double hourly, double low, double bootS, int perKind) {}

  private static final class Rented {
    String id;
    Type type;
    String zone;
    boolean spot;
    double rentedAt;
    Worker worker;
    boolean gone;
    boolean failed;
  }

  private record Snapshot(double at, List<ObjectNode> machines) {}

  private final Lab lab;
  private final Recorder recorder;
  private final List<Type> types;
  private final Map<String, Rented> machines = new TreeMap<>();
  private final Map<String, ObjectNode> hires = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private final double lagS;
  private int lastMachine;
  private boolean outage;
  public double upAfterS = 1.5;
  /** Zones in which no machine is available. */
  public final java.util.Set<String> zonesWithoutRoom =
      java.util.concurrent.ConcurrentHashMap.newKeySet();

  Cloud(Lab lab, List<Type> types, double lagS) {
    this.lab = lab;
    this.recorder = lab.recorder;
    this.types = types;
    this.lagS = lagS;
    Http.THREADS.execute(this::takeSnapshots);
  }

  public HttpServer serve(Gate gate) throws Exception {
    return Http.serve((method, path, query, body) -> handle(gate, method, path, query, body));
  }

  public synchronized void outage(boolean on) {
    outage = on;
    recorder.log("cloud outage: %s", on);
  }

  /** Returns the machines that are up. */
  public synchronized List<Worker> workers() {
    List<Worker> up = new ArrayList<>();
    for (Rented rented : machines.values()) {
      if (!rented.gone && rented.worker != null) {
        up.add(rented.worker);
      }
    }
    return up;
  }

  public synchronized Worker worker(String id) {
    Rented rented = machines.get(id);
    return rented == null ? null : rented.worker;
  }

  /** Takes a machine back, or lets it stop by itself. */
  public void take(String id) {
    Worker worker;
    synchronized (this) {
      Rented rented = machines.get(id);
      rented.gone = true;
      worker = rented.worker;
    }
    if (worker != null) {
      worker.gone("taken");
    }
  }

  private void takeSnapshots() {
    while (true) {
      synchronized (this) {
        List<ObjectNode> list = new ArrayList<>();
        for (Rented rented : machines.values()) {
          if (!rented.gone) {
            ObjectNode node =
                Http.JSON
                    .createObjectNode()
                    .put("Uid", rented.id)
                    .put("Rig", rented.type.name())
                    .put("Depot", rented.zone)
                    .put("Loaner", rented.spot)
                    .put("Status", rented.worker == null ? "booting" : "running")
                    .put("HeldS", recorder.now() - rented.rentedAt);
            if (rented.worker != null) {
              node.put("Address", rented.worker.address());
            }
            list.add(node);
          }
        }
        snapshots.addLast(new Snapshot(recorder.now(), list));
        while (snapshots.size() > 400) {
          snapshots.removeFirst();
        }
      }
      try {
        Thread.sleep(200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private Http.Answer handle(
      Gate gate, String method, String path, Map<String, String> query, JsonNode body)
      throws Exception {
    gate.pass();
    Thread.sleep(30);
    List<Worker> returned = new ArrayList<>();
    Http.Answer answer;
    synchronized (this) {
      if (outage || gate.mode() == Gate.Mode.REFUSE) {
        answer = new Http.Answer(503, Http.JSON.createObjectNode().put("error", "trouble"));
        if (path.equals("/hosts/return")) {
          recorder.log("cloud: %s asks to return %s: 503", gate.name, body.get("Cadres"));
          body.get("Cadres").forEach(name -> lab.cloudAsked.add(name.asText()));
        }
      } else if (path.equals("/machine_types")) {
        answer = new Http.Answer(200, typeList());
      } else if (path.equals("/hosts") && method.equals("POST")) {
        answer = rent(gate, body);
      } else if (path.equals("/hosts")) {
        answer = new Http.Answer(200, list(query));
      } else {
        recorder.log("cloud: %s returns %s", gate.name, body.get("Cadres"));
        for (JsonNode name : body.get("Cadres")) {
          Rented rented = machines.get(name.asText());
          if (rented != null && !rented.gone) {
            lab.returned(gate.name, rented.worker, rented.id);
            rented.gone = true;
            if (rented.worker != null) {
              returned.add(rented.worker);
            }
          }
        }
        answer = new Http.Answer(200, Http.JSON.createObjectNode());
      }
    }
    returned.forEach(worker -> worker.gone("returned by " + gate.name));
    gate.pass();
    return answer;
  }

  private ObjectNode typeList() {
    ObjectNode answer = Http.JSON.createObjectNode();
    ArrayNode array = answer.putArray("Rigs");
    for (Type type : types) {
      ObjectNode node =
          array
              .addObject()
              .put("Label", type.name())
              .put("Cores", type.cores())
              .put("Accelerators", 0)
              .put("RamGb", type.ram())
              .put("CacheGb", 60.0)
              .put("FetchGbPerS", 1.0)
              .put("Hourly", type.hourly())
              .put("LowPrice", type.low())
              .put("BootS", type.bootS());
      ArrayNode zones = node.putArray("Depots");
      lab.zones.forEach(zones::add);
    }
    return answer;
  }

  private Http.Answer rent(Gate gate, JsonNode body) {
    String hire = body.get("Hire").asText();
    if (hires.containsKey(hire)) {
      return new Http.Answer(200, hires.get(hire));
    }
    Type type =
        types.stream().filter(each -> each.name().equals(body.get("Rig").asText())).findAny().get();
    String zone = body.get("Depot").asText();
    boolean spot = body.get("Loaner").asBoolean();
    int left = zonesWithoutRoom.contains(zone) ? 0 : type.perKind();
    for (Rented rented : machines.values()) {
      if (!rented.gone && rented.type == type && rented.zone.equals(zone) && rented.spot == spot) {
        left--;
      }
    }
    if (left <= 0) {
      return new Http.Answer(503, Http.JSON.createObjectNode().put("error", "no capacity"));
    }
    ObjectNode answer = Http.JSON.createObjectNode();
    ArrayNode names = answer.putArray("Cadres");
    for (int i = 0; i < Math.min(left, body.get("Count").asInt()); i++) {
      Rented rented = new Rented();
      rented.id = String.format("host-%06d", ++lastMachine);
      rented.type = type;
      rented.zone = zone;
      rented.spot = spot;
      rented.rentedAt = recorder.now();
      machines.put(rented.id, rented);
      names.add(rented.id);
      Http.THREADS.execute(() -> boot(rented));
    }
    recorder.log("cloud: %s rents %s as %s", gate.name, names, hire);
    hires.put(hire, answer);
    return new Http.Answer(200, answer);
  }

  private void boot(Rented rented) {
    try {
      Thread.sleep((long) (upAfterS * 1000));
      synchronized (this) {
        if (!rented.gone) {
          rented.worker =
              new Worker(
                  lab,
                  rented.id,
                  rented.type.name(),
                  rented.zone,
                  rented.spot,
                  rented.type.cores(),
                  rented.type.ram());
        }
      }
    } catch (Exception e) {
      recorder.log("boot failed: %s", e);
    }
  }

  private ObjectNode list(Map<String, String> query) {
    String after = query.getOrDefault("After", "");
    int most = Integer.parseInt(query.getOrDefault("Most", "500"));
    List<ObjectNode> newest = List.of();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.at <= recorder.now() - lagS) {
        newest = snapshot.machines;
      }
    }
    ObjectNode answer = Http.JSON.createObjectNode();
    ArrayNode array = answer.putArray("Cadres");
    boolean truncated = false;
    for (ObjectNode machine : newest) {
      if (machine.get("Uid").asText().compareTo(after) > 0) {
        if (array.size() >= most) {
          truncated = true;
          break;
        }
        array.add(machine);
      }
    }
    return answer.put("Truncated", truncated);
  }
}
