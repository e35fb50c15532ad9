package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * What a user asked for: an array of independent tasks and what each may run on.
 *
 * @param dependencies jobs that have to be done before any task of this one starts; each is there
 *     once
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
    List<String> machineTypes,
    String zone,
    boolean singleZone,
    boolean spread,
    boolean spot,
    double estimatedRuntimeS,
    double checkpointIntervalS,
    double checkpointDurationS,
    double deadlineS,
    List<String> dependencies) {

  public static final int MAX_TASKS = 100_000;

  /** The field that names the jobs that one needs. */
  public static final String DEPENDENCIES_FIELD = "Awaits";

  /** The field that names the job's team. */
  public static final String TEAM_FIELD = "Crew";

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");
  private static final double MAX = 1e9;

  /**
   * Whether a text has the form of a job id, and may thus be part of a key of the state service.
   */
  public static boolean isValidId(String text) {
    return text != null && ID.matcher(text).matches();
  }

  /** The id in a submission that may be malformed otherwise; null when there is none. */
  public static @Nullable String idOf(JsonNode body) {
    return Json.text(body, "Uid");
  }

  /** Reads a submission or a stored job; a failure names the field. */
  public static JobSpec parse(JsonNode body) throws InvalidFieldException {
    FieldReader f = FieldReader.of(body, "");
    String id = f.text("Uid");
    if (!isValidId(id)) {
      throw new InvalidFieldException("Uid", "must have the form wk-000412");
    }
    if (!"array".equals(f.text("Shape"))) {
      throw new InvalidFieldException("Shape", "must be array");
    }
    List<String> types = f.textsOrNull("Rigs");
    return new JobSpec(
        id,
        f.text("RouteKind"),
        f.text(TEAM_FIELD),
        Priority.fromWireName(f.text("Urgency")),
        (int) f.count("Legs", 1, MAX_TASKS),
        f.number("Cores", 0, MAX),
        f.number("Accelerators", 0, MAX),
        f.number("RamGb", 0, MAX),
        f.text("Kit"),
        f.number("ImageGb", 0, MAX),
        types,
        f.textOrNull("Depot"),
        f.flag("SamePlace"),
        f.flag("Spread"),
        f.flag("Loaner"),
        f.number("EtaS", 0, MAX),
        f.number("WaypointS", 0, MAX),
        f.number("StashS", 0, MAX),
        f.number("CutoffS", 0, MAX, Double.POSITIVE_INFINITY),
        dependencies(f, id));
  }

  private static List<String> dependencies(FieldReader f, String own) throws InvalidFieldException {
    List<String> named = f.textsOrNull(DEPENDENCIES_FIELD);
    if (named == null) {
      return List.of();
    }
    for (String id : named) {
      if (!isValidId(id)) {
        throw new InvalidFieldException(
            DEPENDENCIES_FIELD, "must be a list of ids of the form wk-000412");
      }
      if (id.equals(own)) {
        throw new InvalidFieldException(DEPENDENCIES_FIELD, "must not name the job itself");
      }
    }
    return named.stream().distinct().toList();
  }

  /** A job that needs no other. */
  public JobSpec(
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
      List<String> machineTypes,
      String zone,
      boolean singleZone,
      boolean spread,
      boolean spot,
      double estimatedRuntimeS,
      double checkpointIntervalS,
      double checkpointDurationS,
      double deadlineS) {
    this(
        id,
        jobClass,
        team,
        priority,
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
        List.of());
  }

  /** The same job in another class. */
  public JobSpec withPriority(Priority other) {
    return new JobSpec(
        id,
        jobClass,
        team,
        other,
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
        dependencies);
  }

  /** The same job, with other jobs to wait for. */
  public JobSpec withDependencies(List<String> others) {
    return new JobSpec(
        id,
        jobClass,
        team,
        priority,
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
        List.copyOf(others));
  }

  /** The form in which users submit a job and in which it is stored. */
  public ObjectNode toJson() {
    ObjectNode o = Json.object();
    o.put("Uid", id)
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
      var array = o.putArray("Rigs");
      machineTypes.forEach(array::add);
    }
    if (zone != null) {
      o.put("Depot", zone);
    }
    o.put("SamePlace", singleZone)
        .put("Spread", spread)
        .put("Loaner", spot)
        .put("EtaS", estimatedRuntimeS)
        .put("WaypointS", checkpointIntervalS)
        .put("StashS", checkpointDurationS);
    if (Double.isFinite(deadlineS)) {
      o.put("CutoffS", deadlineS);
    }
    if (!dependencies.isEmpty()) {
      var array = o.putArray(DEPENDENCIES_FIELD);
      dependencies.forEach(array::add);
    }
    return o;
  }

  /** The most tasks that one zone may hold under {@code Spread}. */
  public int spreadLimit() {
    return (tasks + 1) / 2;
  }

  /**
   * Whether a task of this job asks for at least as much as one of another, and may go to no more
   * machines.
   */
  public boolean requiresAtLeast(JobSpec other) {
    return cpus >= other.cpus
        && gpus >= other.gpus
        && memoryGb >= other.memoryGb
        && (other.spot || !spot)
        && (other.zone == null || other.zone.equals(zone))
        && (other.machineTypes == null || other.machineTypes.equals(machineTypes));
  }

  public boolean supportsCheckpoints() {
    return checkpointIntervalS > 0;
  }
}
