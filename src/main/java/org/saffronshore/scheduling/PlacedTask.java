package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A task on a host as the cycle sees it.
 *
 * @param runningSince when it began to run, NaN as long as it does not
 * @param exemptFromPreemption whether it is not to be stopped for others
 */
public record PlacedTask(
    TaskId task, JobSpec job, boolean stopping, double runningSince, boolean exemptFromPreemption) {

  public PlacedTask(TaskId task, JobSpec job, boolean stopping, double runningSince) {
    this(task, job, stopping, runningSince, false);
  }

  /** How much of its running time a stop would waste. */
  double lostWorkS(double now) {
    return Double.isNaN(runningSince)
        ? 0
        : job.supportsCheckpoints() ? job.checkpointDurationS() : now - runningSince;
  }
}
