package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/**
 * An amount of each resource. Mutable, because it serves as a running total in scheduling cycles,
 * forecasts and scale-out plans. Each of these modifies its own instances; {@link #copy} creates an
 * independent one.
 */
public final class Resources {
  /** The tolerance for rounding errors in sums of CPUs, GPUs or GB. */
  static final double EPSILON = 1e-6;

  public double cpus;
  public double gpus;
  public double memoryGb;

  /** Creates an amount of each resource. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Returns a new total of zero. */
  static Resources zero() {
    return new Resources(0, 0, 0);
  }

  /** Returns the capacity of a machine of a type. */
  public static Resources capacityOf(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memoryGb());
  }

  public Resources copy() {
    return new Resources(cpus, gpus, memoryGb);
  }

  /** Returns whether a task of the job fits into this amount. */
  public boolean fits(JobSpec job) {
    return fits(job, cpus, gpus, memoryGb);
  }

  /** Returns whether a task of the job fits into these amounts. */
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

  /** Adds what a number of tasks of the job use. */
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
