package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;

/**
 * What operators may set of the cycle; the defaults are those of the design.
 *
 * @param periodS seconds between full cycles
 * @param evictionProbability how likely a full cycle evicts the tasks of a machine, from 0 to 1
 * @param gpuWeight how many CPUs a GPU counts for in a task's cost
 * @param memoryWeight how many CPUs a GB of memory counts for in a task's cost
 */
public record SchedulingSettings(
    double periodS, double evictionProbability, double gpuWeight, double memoryWeight) {
  public static final SchedulingSettings DEFAULTS = new SchedulingSettings(5, 0.1, 1, 0);

  /** What one task of the job counts for in its team's share. */
  public double cost(JobSpec job) {
    return job.cpus() + gpuWeight * job.gpus() + memoryWeight * job.memoryGb();
  }
}
