package lab;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A job of a user, with what its tasks really do. */
public final class Job {
  public final String id;
  public final String team;
  public final String kind;
  public final int tasks;
  public final double cores;
  public final double ram;
  public final double runS;
  public String image = "img-1";
  public double fetchS = 0.3;
  public String urgency = "standard";
  public boolean spot = true;
  public boolean spread;
  public boolean samePlace;
  /** The only allowed zone; null for any. */
  public String depot;

  /** The interval between checkpoints and the time to save one; 0: the tasks never save. */
  public double waypointS;

  public double stashS;
  public List<String> awaits = List.of();

  public Job(String id, String kind, String team, int tasks, double cores, double ram, double runS) {
    this.id = id;
    this.kind = kind;
    this.team = team;
    this.tasks = tasks;
    this.cores = cores;
    this.ram = ram;
    this.runS = runS;
  }

  public ObjectNode toJson() {
    ObjectNode json =
        Http.JSON
            .createObjectNode()
            .put("Uid", id)
            .put("RouteKind", kind)
            .put("Crew", team)
            .put("Shape", "array")
            .put("Urgency", urgency)
            .put("Legs", tasks)
            .put("Cores", cores)
            .put("Accelerators", 0.0)
            .put("RamGb", ram)
            .put("Kit", image)
            .put("ImageGb", 0.3)
            .put("SamePlace", samePlace)
            .put("Spread", spread)
            .put("Loaner", spot)
            .put("EtaS", runS)
            .put("WaypointS", waypointS)
            .put("StashS", stashS);
    if (depot != null) {
      json.put("Depot", depot);
    }
    if (!awaits.isEmpty()) {
      ArrayNode array = json.putArray("Awaits");
      awaits.forEach(array::add);
    }
    return json;
  }
}
