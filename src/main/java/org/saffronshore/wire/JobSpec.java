package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A job as a user submits it: an array of independent tasks, and what each may run on. Amounts are
 * those of one task.
 *
 * @param id of the form that {@link #isValidId} checks
 * @param jobClass the kind of job that objectives name
 * @param team the name of the team that owns the job
 * @param tasks how many tasks, from 1 to {@link #MAX_TASKS}
 * @param image the container image that a machine needs
 * @param imageGb its size
 * @param machineTypes the names of the machine types that tasks may run on; null for any
 * @param zone the zone that tasks have to run in; null for any
 * @param singleZone whether all tasks have to run in the same zone
 * @param spread whether no zone may have more tasks than {@link #spreadLimit}
 * @param spot whether tasks may run on spot machines
 * @param estimatedRuntimeS how long a task runs, by the owner's estimate
 * @param checkpointIntervalS how often a task saves a checkpoint; 0 if it saves none
 * @param checkpointDurationS how long it takes to save one
 * @param deadlineS seconds after the submission by which the job should be done; infinite for none
 * @param dependencies ids of jobs that have to be done before any task of this one starts; each is
 *     there once
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    @Nullable List<String> machineTypes,
    @Nullable String zone,
    boolean singleZone,
    boolean spread,
    boolean spot,
    double estimatedRuntimeS,
    double checkpointIntervalS,
    double checkpointDurationS,
    double deadlineS,
    List<String> dependencies) {

  /** The most tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** The field that names the job's team. */
  public static final String TEAM_FIELD = "Crew";

  /** The field of a submitted or stored job that names its dependencies. */
  public static final String DEPENDENCIES_FIELD = "Awaits";

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");

  /** The most that a field with a number may say. */
  private static final double MAX_NUMBER = 1e9;

  /**
   * Whether a text has the form of a job id, and may thus be part of a key of the state service.
   */
  public static boolean isValidId(@Nullable String text) {
    return text != null && ID.matcher(text).matches();
  }

  /** The id in a submission that may be malformed otherwise; null when there is none. */
  public static @Nullable String idOf(JsonNode body) {
    return Json.text(body, "Uid");
  }

  /**
   * Reads a submission or a stored job.
   *
   * @throws InvalidFieldException if a field is missing or invalid; it names the field
   */
  public static JobSpec parse(JsonNode body) throws InvalidFieldException {
    FieldReader fields = FieldReader.of(body, "");
    String id = fields.text("Uid");
    if (!isValidId(id)) {
      throw new InvalidFieldException("Uid", "must have the form wk-000412");
    }
    if (!"array".equals(fields.text("Shape"))) {
      throw new InvalidFieldException("Shape", "must be array");
    }
    // Read first: of several invalid fields the refusal names this one, which users may rely on.
    List<String> machineTypes = fields.textsOrNull("Rigs");
    return new JobSpec(
        id,
        fields.text("RouteKind"),
        fields.text(TEAM_FIELD),
        Priority.fromWireName(fields.text("Urgency")),
        (int) fields.integer("Legs", 1, MAX_TASKS),
        fields.number("Cores", 0, MAX_NUMBER),
        fields.number("Accelerators", 0, MAX_NUMBER),
        fields.number("RamGb", 0, MAX_NUMBER),
        fields.text("Kit"),
        fields.number("ImageGb", 0, MAX_NUMBER),
        machineTypes,
        fields.textOrNull("Depot"),
        fields.bool("SamePlace"),
        fields.bool("Spread"),
        fields.bool("Loaner"),
        fields.number("EtaS", 0, MAX_NUMBER),
        fields.number("WaypointS", 0, MAX_NUMBER),
        fields.number("StashS", 0, MAX_NUMBER),
        fields.number("CutoffS", 0, MAX_NUMBER, Double.POSITIVE_INFINITY),
        dependencies(fields, id));
  }

  private static List<String> dependencies(FieldReader fields, String ownId)
      throws InvalidFieldException {
    List<String> named = fields.textsOrNull(DEPENDENCIES_FIELD);
    if (named == null) {
      return List.of();
    }
    for (String id : named) {
      if (!isValidId(id)) {
        throw new InvalidFieldException(
            DEPENDENCIES_FIELD, "must be a list of ids of the form wk-000412");
      }
      if (id.equals(ownId)) {
        throw new InvalidFieldException(DEPENDENCIES_FIELD, "must not name the job itself");
      }
    }
    return named.stream().distinct().toList();
  }

  /** The same job with another priority. */
  public JobSpec withPriority(Priority newPriority) {
    return copyWith(newPriority, dependencies);
  }

  /** The same job with other dependencies. */
  public JobSpec withDependencies(List<String> newDependencies) {
    return copyWith(priority, List.copyOf(newDependencies));
  }

  private JobSpec copyWith(Priority newPriority, List<String> newDependencies) {
    return new JobSpec(
        id,
        jobClass,
        team,
        newPriority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        machineTypes,
        zone,
        singleZone,
        spread,
        spot,
        estimatedRuntimeS,
        checkpointIntervalS,
        checkpointDurationS,
        deadlineS,
        newDependencies);
  }

  /** How many bytes the job takes in the form of {@link #toJson}. */
  public int encodedLength() {
    return Json.bytes(toJson()).length;
  }

  /** The form in which users submit a job and in which it is stored. */
  public ObjectNode toJson() {
    ObjectNode json = Json.object();
    json.put("Uid", id)
        .put("RouteKind", jobClass)
        .put(TEAM_FIELD, team)
        .put("Shape", "array")
        .put("Urgency", priority.wireName())
        .put("Legs", tasks)
        .put("Cores", cpus)
        .put("Accelerators", gpus)
        .put("RamGb", memoryGb)
        .put("Kit", image)
        .put("ImageGb", imageGb);
    if (machineTypes != null) {
      ArrayNode array = json.putArray("Rigs");
      machineTypes.forEach(array::add);
    }
    if (zone != null) {
      json.put("Depot", zone);
    }
    json.put("SamePlace", singleZone)
        .put("Spread", spread)
        .put("Loaner", spot)
        .put("EtaS", estimatedRuntimeS)
        .put("WaypointS", checkpointIntervalS)
        .put("StashS", checkpointDurationS);
    if (Double.isFinite(deadlineS)) {
      json.put("CutoffS", deadlineS);
    }
    if (!dependencies.isEmpty()) {
      ArrayNode array = json.putArray(DEPENDENCIES_FIELD);
      dependencies.forEach(array::add);
    }
    return json;
  }

  /** The most tasks that one zone may have if {@link #spread}: half of them, rounded up. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }

  /**
   * Whether a task of this job requires at least as much of every resource as one of another, and
   * is allowed on no machine that the other is not allowed on. Where no task of the other fits,
   * none of this one does.
   */
  public boolean requiresAtLeast(JobSpec other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memoryGb >= other.memoryGb
        && (other.spot || !spot)
        && (other.zone == null || other.zone.equals(zone))
        && (other.machineTypes == null || other.machineTypes.equals(machineTypes));
  }

  /** Whether tasks save checkpoints, so that a stop loses only what came after the last one. */
  public boolean supportsCheckpoints() {
    return checkpointIntervalS > 0;
  }
}
