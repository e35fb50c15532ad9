package org.saffronshore.scheduling;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** What a cycle decided. */
public record Plan(List<Placement> placements, List<Stop> stops, List<UnplacedTasks> unmet) {

  /**
   * {@code overdue}: the task was placed before all others since its job had waited for very long.
   */
  public record Placement(TaskId task, String host, boolean overdue) {}

  /** A task that is to be stopped, and the reason for the log. */
  public record Stop(TaskId task, String host, String why) {}

  /**
   * Tasks of a job that found no place although the team's limit lets them run; in the order of the
   * queue.
   */
  public record UnplacedTasks(JobSpec job, int tasks) {}
}
