package org.saffronshore.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.wire.Fields;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.Json;

/**
 * What operators set at run time: the cycle's tuning, and teams' weights where they differ from the
 * guarantees.
 */
public record OperatorSettings(SchedulingSettings tuning, Map<String, Double> teamWeights) {
  public static final OperatorSettings START =
      new OperatorSettings(SchedulingSettings.START, Map.of());
  private static final Set<String> KNOWN =
      Set.of("period_s", "eviction_probability", "gpu_weight", "memory_weight", "team_weights");
  private static final double MAX = 1e6;

  /**
   * Reads settings; a field that is left out keeps its starting value, one that is not known is an
   * error.
   */
  public static OperatorSettings parse(JsonNode body, Set<String> teams) throws InvalidField {
    Fields f = Fields.of(body, "");
    for (var names = body.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!KNOWN.contains(name)) {
        throw new InvalidField(name, "is not a setting");
      }
    }
    SchedulingSettings start = SchedulingSettings.START;
    SchedulingSettings tuning =
        new SchedulingSettings(
            f.number("period_s", 0.1, 3600, start.periodS()),
            f.number("eviction_probability", 0, 1, start.evictionProbability()),
            f.number("gpu_weight", 0, MAX, start.gpuWeight()),
            f.number("memory_weight", 0, MAX, start.memoryWeight()));
    Map<String, Double> weights = new TreeMap<>();
    if (f.has("team_weights")) {
      Fields w = f.object("team_weights");
      for (var names = w.node().fieldNames(); names.hasNext(); ) {
        String team = names.next();
        if (!teams.contains(team)) {
          throw new InvalidField("team_weights." + team, "is not a team");
        }
        weights.put(team, w.number(team, 1e-3, MAX));
      }
    }
    return new OperatorSettings(tuning, Map.copyOf(weights));
  }

  /** The form in which settings are stored and shown to operators. */
  public ObjectNode toJson() {
    ObjectNode o =
        Json.object()
            .put("period_s", tuning.periodS())
            .put("eviction_probability", tuning.evictionProbability())
            .put("gpu_weight", tuning.gpuWeight())
            .put("memory_weight", tuning.memoryWeight());
    ObjectNode weights = o.putObject("team_weights");
    new TreeMap<>(teamWeights).forEach(weights::put);
    return o;
  }
}
