package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;

/** What operators may set of the cycle; the starting values are those of the design. */
public record SchedulingSettings(
    double periodS, double evictionProbability, double gpuWeight, double memoryWeight) {
  public static final SchedulingSettings DEFAULTS = new SchedulingSettings(5, 0.1, 1, 0);

  public double cost(JobSpec job) {
    return job.cpus() + gpuWeight * job.gpus() + memoryWeight * job.memoryGb();
  }
}
