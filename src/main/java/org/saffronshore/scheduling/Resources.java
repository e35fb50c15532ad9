package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** An amount of each resource; mutable scratch space of the cycle and of the fleet's plan. */
public final class Resources {
  private static final double EPSILON = 1e-6;
  public double cpus;
  public double gpus;
  public double memoryGb;

  /** An amount of each resource. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** All that a machine of a type has. */
  public static Resources capacityOf(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memoryGb());
  }

  public Resources copy() {
    return new Resources(cpus, gpus, memoryGb);
  }

  public boolean fits(JobSpec job) {
    return fits(job, cpus, gpus, memoryGb);
  }

  /** Whether a task fits into this much of each resource. */
  public static boolean fits(JobSpec job, double cpus, double gpus, double memoryGb) {
    return cpus + EPSILON >= job.cpus()
        && gpus + EPSILON >= job.gpus()
        && memoryGb + EPSILON >= job.memoryGb();
  }

  /** Takes what one task uses. */
  public void subtract(JobSpec job) {
    cpus -= job.cpus();
    gpus -= job.gpus();
    memoryGb -= job.memoryGb();
  }

  public void add(JobSpec job) {
    add(job, 1);
  }

  /** Gives back what some tasks use. */
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
