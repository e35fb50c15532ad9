import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in of the cloud, as PROTOCOL describes it, for one machine type. */
final class Cloud {
  private static final class Rented {
    final String zone;
    final boolean spot;
    final double at = Log.now();
    double goneAt = Double.POSITIVE_INFINITY;
    Worker worker;

    Rented(String zone, boolean spot) {
      this.zone = zone;
      this.spot = spot;
    }
  }

  final int port;

  /** How many machines of each zone may exist at the same time, spot and ordinary together. */
  final Map<String, Integer> capacity = new HashMap<>();

  /** Seconds from the rental until the machine is up, by zone. */
  final Map<String, Double> bootS = new HashMap<>();

  private final World world;
  private final Map<String, Rented> machines = new LinkedHashMap<>();
  private final Map<String, JsonNode> hires = new HashMap<>();

  Cloud(World world) throws IOException {
    this.world = world;
    this.port = Http.freePort();
    Http.serve(port, this::handle);
  }

  private Http.Reply handle(String method, String path, Map<String, String> query, byte[] body)
      throws Exception {
    if (path.equals("/machine_types")) {
      return new Http.Reply(200, types());
    } else if (path.equals("/hosts/return")) {
      for (JsonNode name : Http.JSON.readTree(body).get("Cadres")) {
        remove(name.asText(), "returned to the cloud");
      }
      return new Http.Reply(200, Http.object());
    } else if (method.equals("POST")) {
      return rent(Http.JSON.readTree(body));
    }
    return list(query);
  }

  private ObjectNode types() {
    ObjectNode reply = Http.object();
    ObjectNode type =
        reply
            .putArray("Rigs")
            .addObject()
            .put("Label", world.type)
            .put("Cores", world.cpus)
            .put("Accelerators", 0)
            .put("RamGb", world.memoryGb)
            .put("CacheGb", 60.0)
            .put("FetchGbPerS", 0.5)
            .put("Hourly", 0.69)
            .put("LowPrice", 0.25)
            .put("BootS", 40.0);
    ArrayNode zones = type.putArray("Depots");
    world.machineZones.forEach(zones::add);
    return reply;
  }

  private synchronized Http.Reply rent(JsonNode order) {
    JsonNode known = hires.get(order.get("Hire").asText());
    if (known != null) {
      return new Http.Reply(200, known);
    }
    String zone = order.get("Depot").asText();
    ObjectNode reply = Http.object();
    ArrayNode names = reply.putArray("Cadres");
    for (int i = 0; i < order.get("Count").asInt(); i++) {
      long used =
          machines.values().stream()
              .filter(machine -> machine.zone.equals(zone) && Double.isInfinite(machine.goneAt))
              .count();
      if (used >= capacity.getOrDefault(zone, 0)) {
        break;
      }
      String name = String.format("host-%06d", machines.size() + 1);
      Rented rented = new Rented(zone, order.get("Loaner").asBoolean());
      machines.put(name, rented);
      names.add(name);
      Http.THREADS.execute(() -> boot(name, rented));
    }
    Log.line("cloud: %s -> %s", order, names);
    if (names.isEmpty()) {
      return new Http.Reply(503, Http.object().put("error", "no capacity"));
    }
    hires.put(order.get("Hire").asText(), reply);
    return new Http.Reply(200, reply);
  }

  private void boot(String name, Rented rented) {
    Worker.pause(bootS.getOrDefault(rented.zone, 1.5));
    synchronized (this) {
      try {
        if (Double.isInfinite(rented.goneAt)) {
          rented.worker =
              new Worker(world, name, world.type, rented.zone, rented.spot, world.cpus, world.memoryGb);
        }
      } catch (IOException e) {
        Log.line("machine %s does not come up: %s", name, e);
      }
    }
  }

  private synchronized Http.Reply list(Map<String, String> query) {
    String after = query.getOrDefault("After", "");
    double at = Log.now() - world.listLagS;
    ObjectNode reply = Http.object();
    ArrayNode listed = reply.putArray("Cadres");
    machines.forEach(
        (name, rented) -> {
          if (name.compareTo(after) > 0 && rented.at <= at && rented.goneAt > at) {
            ObjectNode entry =
                listed
                    .addObject()
                    .put("Uid", name)
                    .put("Rig", world.type)
                    .put("Depot", rented.zone)
                    .put("Loaner", rented.spot)
                    .put("Status", rented.worker == null ? "booting" : "running")
                    .put("HeldS", at - rented.at);
            if (rented.worker != null) {
              entry.put("Address", rented.worker.address());
            }
          }
        });
    reply.put("Truncated", false);
    return new Http.Reply(200, reply);
  }

  /** The machine is taken or returned: it and everything on it are gone. */
  synchronized void remove(String name, String why) {
    Rented rented = machines.get(name);
    if (rented != null && Double.isInfinite(rented.goneAt)) {
      rented.goneAt = Log.now();
      if (rented.worker != null) {
        rented.worker.stop(why);
      }
    }
  }

  synchronized Worker worker(String name) {
    Rented rented = machines.get(name);
    return rented == null ? null : rented.worker;
  }

  /** Returns the workers of the machines that are up. */
  synchronized List<Worker> workers() {
    return machines.values().stream()
        .filter(rented -> rented.worker != null && Double.isInfinite(rented.goneAt))
        .map(rented -> rented.worker)
        .toList();
  }
}
