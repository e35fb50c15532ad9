package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A scheduling cycle's view of a task on a machine.
 *
 * @param stopping whether the task is already being stopped
 * @param runningSince when the task started to run, in seconds; NaN if it is not running yet
 * @param exemptFromPreemption whether the task may not be preempted
 */
public record PlacedTask(
    TaskId task, JobSpec job, boolean stopping, double runningSince, boolean exemptFromPreemption) {

  /** Creates a task that is not exempt from preemption. */
  public PlacedTask(TaskId task, JobSpec job, boolean stopping, double runningSince) {
    this(task, job, stopping, runningSince, false);
  }

  /**
   * Returns the running time, in seconds, that would be lost if the task were stopped now: its
   * whole running time, or the duration of a checkpoint if the job supports checkpoints.
   */
  double lostWorkS(double now) {
    if (Double.isNaN(runningSince)) {
      return 0;
    }
    return job.supportsCheckpoints() ? job.checkpointDurationS() : now - runningSince;
  }
}
