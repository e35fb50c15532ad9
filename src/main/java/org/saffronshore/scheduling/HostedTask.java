package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * A task on a host as the cycle sees it.
 *
 * @param since when it began to run, NaN as long as it does not
 * @param kept whether it is not to be stopped for others
 */
public record HostedTask(TaskId task, JobSpec job, boolean stopping, double since, boolean kept) {

  public HostedTask(TaskId task, JobSpec job, boolean stopping, double since) {
    this(task, job, stopping, since, false);
  }

  /** How much of its running time a stop would waste. */
  double lostS(double now) {
    return Double.isNaN(since) ? 0 : job.saves() ? job.saveS() : now - since;
  }
}
