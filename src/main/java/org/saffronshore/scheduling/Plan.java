package org.saffronshore.scheduling;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** What a cycle decided. */
public record Plan(
    List<Placement> placements,
    List<Stop> stops,
    List<UnplacedTasks> unmet,
    List<LimitedTasks> limited) {

  /**
   * A task that is to be started.
   *
   * @param overdue whether it was placed before all others since its job had waited for very long
   * @param counted what counted against its team's limit before
   */
  public record Placement(TaskId task, String host, boolean overdue, TeamUse counted) {}

  /** A task that is to be stopped, and the reason for the log. */
  public record Stop(TaskId task, String host, String why) {}

  /**
   * Tasks of a job that found no place although the team's limit lets them run; in the order of the
   * queue.
   */
  public record UnplacedTasks(JobSpec job, int tasks) {}

  /**
   * Tasks of a job that the team's limit holds back.
   *
   * @param unaccounted whether only by what may be on machines that are not accounted for
   * @param counted what counted against the limit then
   */
  public record LimitedTasks(JobSpec job, int tasks, boolean unaccounted, TeamUse counted) {}
}
