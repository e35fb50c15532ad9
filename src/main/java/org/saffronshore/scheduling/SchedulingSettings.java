package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;

/**
 * The settings of the scheduling cycle that operators may change; the defaults are those of the
 * design.
 *
 * @param periodS the time between full cycles, in seconds
 * @param evictionProbability the probability, from 0 to 1, that a full cycle evicts the tasks of a
 *     machine
 * @param gpuWeight the cost of a GPU, in CPUs
 * @param memoryWeight the cost of a GB of memory, in CPUs
 */
public record SchedulingSettings(
    double periodS, double evictionProbability, double gpuWeight, double memoryWeight) {
  public static final SchedulingSettings DEFAULTS = new SchedulingSettings(5, 0.1, 1, 0);

  /**
   * Returns the cost of one task of the job, in CPUs, by which it counts towards its team's share.
   */
  public double cost(JobSpec job) {
    return job.cpus() + gpuWeight * job.gpus() + memoryWeight * job.memoryGb();
  }
}
