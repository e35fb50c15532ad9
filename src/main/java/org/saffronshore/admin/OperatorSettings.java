package org.saffronshore.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * What operators set at run time: the cycle's tuning, and teams' weights where they differ from the
 * guarantees.
 */
public record OperatorSettings(SchedulingSettings scheduling, Map<String, Double> teamWeights) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(SchedulingSettings.DEFAULTS, Map.of());
  private static final Set<String> KNOWN =
      Set.of("period_s", "eviction_probability", "gpu_weight", "memory_weight", "team_weights");
  private static final double MAX = 1e6;

  /**
   * Reads settings; a field that is left out keeps its starting value, one that is not known is an
   * error.
   */
  public static OperatorSettings parse(JsonNode body, Set<String> teams)
      throws InvalidFieldException {
    FieldReader f = FieldReader.of(body, "");
    for (var names = body.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!KNOWN.contains(name)) {
        throw new InvalidFieldException(name, "is not a setting");
      }
    }
    SchedulingSettings start = SchedulingSettings.DEFAULTS;
    SchedulingSettings tuning =
        new SchedulingSettings(
            f.number("period_s", 0.1, 3600, start.periodS()),
            f.number("eviction_probability", 0, 1, start.evictionProbability()),
            f.number("gpu_weight", 0, MAX, start.gpuWeight()),
            f.number("memory_weight", 0, MAX, start.memoryWeight()));
    Map<String, Double> weights = new TreeMap<>();
    if (f.has("team_weights")) {
      FieldReader w = f.object("team_weights");
      for (var names = w.node().fieldNames(); names.hasNext(); ) {
        String team = names.next();
        if (!teams.contains(team)) {
          throw new InvalidFieldException("team_weights." + team, "is not a team");
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
            .put("period_s", scheduling.periodS())
            .put("eviction_probability", scheduling.evictionProbability())
            .put("gpu_weight", scheduling.gpuWeight())
            .put("memory_weight", scheduling.memoryWeight());
    ObjectNode weights = o.putObject("team_weights");
    new TreeMap<>(teamWeights).forEach(weights::put);
    return o;
  }
}
