package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/**
 * An amount of each resource. Mutable: a running total of the cycle, of forecasts and of plans for
 * the fleet, each of which changes its own; {@link #copy} makes another.
 */
public final class Resources {
  /** By how much sums of CPUs, GPUs or GB may be off through rounding. */
  static final double EPSILON = 1e-6;

  public double cpus;
  public double gpus;
  public double memoryGb;

  /** An amount of each resource. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** A total to which nothing was added yet. */
  static Resources zero() {
    return new Resources(0, 0, 0);
  }

  /** All that a machine of a type has. */
  public static Resources capacityOf(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memoryGb());
  }

  public Resources copy() {
    return new Resources(cpus, gpus, memoryGb);
  }

  /** Whether a task of the job fits into this. */
  public boolean fits(JobSpec job) {
    return fits(job, cpus, gpus, memoryGb);
  }

  /** Whether a task of the job fits into this much of each resource. */
  public static boolean fits(JobSpec job, double cpus, double gpus, double memoryGb) {
    return cpus + EPSILON >= job.cpus()
        && gpus + EPSILON >= job.gpus()
        && memoryGb + EPSILON >= job.memoryGb();
  }

  /** Subtracts what one task of the job uses. */
  public void subtract(JobSpec job) {
    cpus -= job.cpus();
    gpus -= job.gpus();
    memoryGb -= job.memoryGb();
  }

  /** Adds what one task of the job uses. */
  public void add(JobSpec job) {
    add(job, 1);
  }

  /** Adds what some tasks of the job use. */
  public void add(JobSpec job, int tasks) {
    cpus += job.cpus() * tasks;
    gpus += job.gpus() * tasks;
    memoryGb += job.memoryGb() * tasks;
  }

  /** Adds another amount. */
  public void add(Resources other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memoryGb += other.memoryGb;
  }
}
