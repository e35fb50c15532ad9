package org.saffronshore.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The settings that operators change at run time: the parameters of the scheduling cycle, and the
 * weights of teams where they differ from the guaranteed quotas. The JSON form that {@link #parse}
 * and {@link #toJson} define is stored under {@code Keys.OPERATOR_SETTINGS} and shown to operators.
 *
 * @param scheduling the parameters of the scheduling cycle
 * @param teamWeights weights by team; a team without an entry has its guaranteed quota as its
 *     weight
 */
public record OperatorSettings(SchedulingSettings scheduling, Map<String, Double> teamWeights) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(SchedulingSettings.DEFAULTS, Map.of());

  private static final String PERIOD_FIELD = "period_s";
  private static final String EVICTION_PROBABILITY_FIELD = "eviction_probability";
  private static final String GPU_WEIGHT_FIELD = "gpu_weight";
  private static final String MEMORY_WEIGHT_FIELD = "memory_weight";
  private static final String TEAM_WEIGHTS_FIELD = "team_weights";
  private static final Set<String> FIELDS =
      Set.of(
          PERIOD_FIELD,
          EVICTION_PROBABILITY_FIELD,
          GPU_WEIGHT_FIELD,
          MEMORY_WEIGHT_FIELD,
          TEAM_WEIGHTS_FIELD);

  private static final double MIN_PERIOD_S = 0.1;
  private static final double MAX_PERIOD_S = 3600;
  private static final double MIN_TEAM_WEIGHT = 1e-3;
  private static final double MAX_WEIGHT = 1e6;

  /**
   * Parses settings; a field that is absent has its default value.
   *
   * @param teams the names of the configured teams
   * @throws InvalidFieldException if a field has an invalid value, is not a setting, or names an
   *     unknown team
   */
  public static OperatorSettings parse(JsonNode body, Set<String> teams)
      throws InvalidFieldException {
    FieldReader fields = FieldReader.of(body, "");
    for (var names = body.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!FIELDS.contains(name)) {
        throw new InvalidFieldException(
            name, "is not a setting: expected one of " + new TreeSet<>(FIELDS));
      }
    }
    SchedulingSettings defaults = SchedulingSettings.DEFAULTS;
    SchedulingSettings scheduling =
        new SchedulingSettings(
            fields.number(PERIOD_FIELD, MIN_PERIOD_S, MAX_PERIOD_S, defaults.periodS()),
            fields.number(EVICTION_PROBABILITY_FIELD, 0, 1, defaults.evictionProbability()),
            fields.number(GPU_WEIGHT_FIELD, 0, MAX_WEIGHT, defaults.gpuWeight()),
            fields.number(MEMORY_WEIGHT_FIELD, 0, MAX_WEIGHT, defaults.memoryWeight()));
    Map<String, Double> teamWeights =
        fields.has(TEAM_WEIGHTS_FIELD)
            ? parseTeamWeights(fields.object(TEAM_WEIGHTS_FIELD), teams)
            : Map.of();
    return new OperatorSettings(scheduling, teamWeights);
  }

  private static Map<String, Double> parseTeamWeights(FieldReader weights, Set<String> teams)
      throws InvalidFieldException {
    Map<String, Double> parsed = new TreeMap<>();
    for (var names = weights.node().fieldNames(); names.hasNext(); ) {
      String team = names.next();
      if (!teams.contains(team)) {
        throw new InvalidFieldException(
            TEAM_WEIGHTS_FIELD + "." + team,
            "is not a team: expected one of " + new TreeSet<>(teams));
      }
      parsed.put(team, weights.number(team, MIN_TEAM_WEIGHT, MAX_WEIGHT));
    }
    return Map.copyOf(parsed);
  }

  /** Returns the JSON form in which settings are stored and shown to operators. */
  public ObjectNode toJson() {
    ObjectNode settings =
        Json.object()
            .put(PERIOD_FIELD, scheduling.periodS())
            .put(EVICTION_PROBABILITY_FIELD, scheduling.evictionProbability())
            .put(GPU_WEIGHT_FIELD, scheduling.gpuWeight())
            .put(MEMORY_WEIGHT_FIELD, scheduling.memoryWeight());
    ObjectNode weights = settings.putObject(TEAM_WEIGHTS_FIELD);
    new TreeMap<>(teamWeights).forEach(weights::put);
    return settings;
  }
}
