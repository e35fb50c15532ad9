package org.saffronshore;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/**
 * Builds jobs for tests. Without further settings a job has one task of 1 CPU, has no placement
 * constraints, saves no checkpoints and has neither a deadline nor dependencies.
 */
public final class JobBuilder {
  private final String id;
  private final String team;
  private final Priority priority;
  private String jobClass = "class";
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private double memoryGb = 1;
  private String image = "image";
  private double imageGb = 1;
  private List<String> machineTypes;
  private String zone;
  private boolean singleZone;
  private boolean spread;
  private boolean spot = true;
  private double estimatedRuntimeS = 30;
  private double checkpointIntervalS;
  private double checkpointDurationS;
  private double deadlineS = Double.POSITIVE_INFINITY;
  private List<String> dependencies = List.of();

  private JobBuilder(String id, String team, Priority priority) {
    this.id = id;
    this.team = team;
    this.priority = priority;
  }

  public static JobBuilder job(String id, String team, Priority priority) {
    return new JobBuilder(id, team, priority);
  }

  /** Returns a builder that starts with the properties of another job. */
  public static JobBuilder copyOf(JobSpec job) {
    JobBuilder builder = new JobBuilder(job.id(), job.team(), job.priority());
    builder.jobClass = job.jobClass();
    builder.tasks = job.tasks();
    builder.cpus = job.cpus();
    builder.gpus = job.gpus();
    builder.memoryGb = job.memoryGb();
    builder.image = job.image();
    builder.imageGb = job.imageGb();
    builder.machineTypes = job.machineTypes();
    builder.zone = job.zone();
    builder.singleZone = job.singleZone();
    builder.spread = job.spread();
    builder.spot = job.spot();
    builder.estimatedRuntimeS = job.estimatedRuntimeS();
    builder.checkpointIntervalS = job.checkpointIntervalS();
    builder.checkpointDurationS = job.checkpointDurationS();
    builder.deadlineS = job.deadlineS();
    builder.dependencies = job.dependencies();
    return builder;
  }

  public JobBuilder tasks(int count) {
    this.tasks = count;
    return this;
  }

  public JobBuilder cpus(double cpusPerTask) {
    this.cpus = cpusPerTask;
    return this;
  }

  /** Sets the required zone; null allows any zone. */
  public JobBuilder zone(String name) {
    this.zone = name;
    return this;
  }

  /** Sets whether all tasks must run in one zone, and whether they must be spread across zones. */
  public JobBuilder zoneConstraints(boolean inSingleZone, boolean inSpreadZones) {
    this.singleZone = inSingleZone;
    this.spread = inSpreadZones;
    return this;
  }

  public JobBuilder spot(boolean allowed) {
    this.spot = allowed;
    return this;
  }

  public JobBuilder estimatedRuntimeS(double seconds) {
    this.estimatedRuntimeS = seconds;
    return this;
  }

  /** Sets the checkpoint interval and duration; an interval of 0 means no checkpoints. */
  public JobBuilder checkpoints(double intervalS, double durationS) {
    this.checkpointIntervalS = intervalS;
    this.checkpointDurationS = durationS;
    return this;
  }

  public JobBuilder deadlineS(double seconds) {
    this.deadlineS = seconds;
    return this;
  }

  /** Returns a job with the properties that were set. */
  public JobSpec build() {
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
        dependencies);
  }
}
