package org.saffronshore.scheduling;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** What a cycle decided. */
public record SchedulingPlan(
    List<Placement> placements,
    List<Preemption> preemptions,
    List<UnplacedTasks> unplaced,
    List<QuotaLimitedTasks> quotaLimited) {

  /**
   * A task that is to be started.
   *
   * @param overdue whether it was placed before all others since its job had waited for very long
   * @param counted what counted against its team's limit before
   */
  public record Placement(TaskId task, String machine, boolean overdue, QuotaUsage counted) {}

  /** A task that is to be stopped, and the reason for the log. */
  public record Preemption(TaskId task, String machine, String reason) {}

  /**
   * Tasks of a job that found no place although the team's limit lets them run; in the order of the
   * queue.
   */
  public record UnplacedTasks(JobSpec job, int tasks) {}

  /**
   * Tasks of a job that the team's limit holds back.
   *
   * @param onlyByUnreconciled whether only by what may be on machines that are not accounted for
   * @param counted what counted against the limit then
   */
  public record QuotaLimitedTasks(
      JobSpec job, int tasks, boolean onlyByUnreconciled, QuotaUsage counted) {}
}
