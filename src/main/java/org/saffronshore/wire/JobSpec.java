package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A job as submitted by a user: an array of independent tasks, their resource requirements and
 * their placement constraints. Amounts are per task.
 *
 * @param id the job's id, in the form that {@link #isValidId} checks
 * @param jobClass the class of the job, by which objectives select jobs
 * @param team the name of the team that owns the job
 * @param tasks the number of tasks, from 1 to {@link #MAX_TASKS}
 * @param image the container image that a machine needs to run a task
 * @param imageGb the size of the image
 * @param machineTypes the names of the machine types that tasks may run on; null for any
 * @param zone the zone in which tasks must run; null for any
 * @param singleZone whether all tasks must run in the same zone
 * @param spread whether each zone may have at most {@link #spreadLimit} of the tasks
 * @param spot whether tasks may run on spot machines
 * @param estimatedRuntimeS the owner's estimate of a task's run time, in seconds
 * @param checkpointIntervalS seconds between two checkpoints of a task; 0 if it saves none
 * @param checkpointDurationS seconds that a task takes to save a checkpoint
 * @param deadlineS seconds after the submission by which the job should be done; infinite if the
 *     job has no deadline
 * @param dependencies ids of the jobs that must be done before any task of this job starts, without
 *     duplicates
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

  /** The maximum number of tasks in a job. */
  public static final int MAX_TASKS = 100_000;

  /** The field with the name of the job's team. */
  public static final String TEAM_FIELD = "Crew";

  /** The field of a submitted or stored job with the ids of its dependencies. */
  public static final String DEPENDENCIES_FIELD = "Awaits";

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");

  /** The largest value of a numeric field. */
  private static final double MAX_NUMBER = 1e9;

  /**
   * Returns whether a text has the form of a job id, so that it may be part of a key in the state
   * service.
   */
  public static boolean isValidId(@Nullable String text) {
    return text != null && ID.matcher(text).matches();
  }

  /** Returns the id in a submission whose other fields may be malformed; null if it has none. */
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
      throw new InvalidFieldException("Shape", "must be \"array\"");
    }
    // Read before the fields below: an error reports only the first invalid field, and users may
    // rely on the order.
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
            DEPENDENCIES_FIELD, "must be a list of job ids of the form wk-000412");
      }
      if (id.equals(ownId)) {
        throw new InvalidFieldException(DEPENDENCIES_FIELD, "must not name the job itself");
      }
    }
    return named.stream().distinct().toList();
  }

  /** Returns a copy of this job with another priority. */
  public JobSpec withPriority(Priority newPriority) {
    return copyWith(newPriority, dependencies);
  }

  /** Returns a copy of this job with other dependencies. */
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

  /** Returns the length in bytes of the JSON text of {@link #toJson}. */
  public int encodedLength() {
    return Json.bytes(toJson()).length;
  }

  /** Returns the form in which users submit the job and in which it is stored. */
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

  /** Returns the maximum number of tasks in one zone if {@link #spread}: half, rounded up. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }

  /**
   * Returns whether a task of this job requires at least as much of every resource as a task of the
   * other job, and is allowed only on machines on which the other job is allowed too. A machine on
   * which no task of the other job fits then fits no task of this job either.
   */
  public boolean requiresAtLeast(JobSpec other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memoryGb >= other.memoryGb
        && (other.spot || !spot)
        && (other.zone == null || other.zone.equals(zone))
        && (other.machineTypes == null || other.machineTypes.equals(machineTypes));
  }

  /**
   * Returns whether tasks save checkpoints, so that a stop loses only the work since the last one.
   */
  public boolean supportsCheckpoints() {
    return checkpointIntervalS > 0;
  }
}
