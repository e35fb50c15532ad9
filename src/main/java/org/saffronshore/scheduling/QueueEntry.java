package org.saffronshore.scheduling;

import org.saffronshore.wire.JobSpec;

/** An entry of a team's queue. */
sealed interface QueueEntry {

  JobSpec job();

  /** Returns whether the entry's next task is placed before the tasks of all teams. */
  boolean isOverdue();

  /** A job whose waiting tasks are placed one at a time. */
  record Waiting(PendingJob pending) implements QueueEntry {
    @Override
    public JobSpec job() {
      return pending.job();
    }

    @Override
    public boolean isOverdue() {
      return pending.isOverdue();
    }
  }

  /**
   * A task that was evicted in memory and may only be placed again on the machine that it runs on.
   */
  record Evicted(PlacedTask task, MachineView machine) implements QueueEntry {
    @Override
    public JobSpec job() {
      return task.job();
    }

    @Override
    public boolean isOverdue() {
      return false;
    }
  }
}
