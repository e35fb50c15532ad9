package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;

/** An amount of each resource; mutable scratch space of the cycle and of the fleet's plan. */
public final class Room {
  private static final double CRUMB = 1e-6;
  public double cpus;
  public double gpus;
  public double memoryGb;

  public Room(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** All that a machine of a type has. */
  public static Room of(MachineType type) {
    return new Room(type.cpus(), type.gpus(), type.memoryGb());
  }

  public Room copy() {
    return new Room(cpus, gpus, memoryGb);
  }

  public boolean fits(JobSpec job) {
    return fits(job, cpus, gpus, memoryGb);
  }

  public static boolean fits(JobSpec job, double cpus, double gpus, double memoryGb) {
    return cpus + CRUMB >= job.cpus()
        && gpus + CRUMB >= job.gpus()
        && memoryGb + CRUMB >= job.memoryGb();
  }

  public void take(JobSpec job) {
    cpus -= job.cpus();
    gpus -= job.gpus();
    memoryGb -= job.memoryGb();
  }

  public void give(JobSpec job) {
    give(job, 1);
  }

  public void give(JobSpec job, int tasks) {
    cpus += job.cpus() * tasks;
    gpus += job.gpus() * tasks;
    memoryGb += job.memoryGb() * tasks;
  }

  public void give(Room other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memoryGb += other.memoryGb;
  }
}
