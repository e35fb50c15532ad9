package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A task on a machine as the cycle sees it.
 *
 * @param stopping whether it is being stopped already
 * @param runningSince when it began to run, in seconds; NaN as long as it does not
 * @param exemptFromPreemption whether it is not to be preempted
 */
public record PlacedTask(
    TaskId task, JobSpec job, boolean stopping, double runningSince, boolean exemptFromPreemption) {

  /** A task that is not exempt from preemption. */
  public PlacedTask(TaskId task, JobSpec job, boolean stopping, double runningSince) {
    this(task, job, stopping, runningSince, false);
  }

  /** How many seconds of its running time a stop at a moment would waste. */
  double lostWorkS(double now) {
    if (Double.isNaN(runningSince)) {
      return 0;
    }
    return job.supportsCheckpoints() ? job.checkpointDurationS() : now - runningSince;
  }
}
