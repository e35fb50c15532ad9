package org.saffronshore.scheduling;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * The result of a scheduling cycle.
 *
 * @param placements tasks to start, in the order in which they were placed
 * @param preemptions tasks to stop
 * @param unplaced tasks that fit on no machine, in the order in which they were tried
 * @param quotaLimited tasks that were not placed because of their team's limit
 */
public record SchedulingPlan(
    List<Placement> placements,
    List<Preemption> preemptions,
    List<UnplacedTasks> unplaced,
    List<QuotaLimitedTasks> quotaLimited) {

  /**
   * A task to start.
   *
   * @param machine the machine's id
   * @param overdue whether the task was placed before all others because its job had waited for
   *     very long
   * @param usageBefore the usage that counted against the team's limit before the task was placed
   */
  public record Placement(TaskId task, String machine, boolean overdue, QuotaUsage usageBefore) {}

  /**
   * A task to stop.
   *
   * @param machine the machine's id
   */
  public record Preemption(TaskId task, String machine, PreemptionReason reason) {}

  /**
   * Tasks of a job that fit on no machine although the team's limit allows them.
   *
   * @param tasks the number of tasks; 0 if the limit allows less than one more task
   */
  public record UnplacedTasks(JobSpec job, int tasks) {}

  /**
   * Tasks of a job that were not placed because of the team's limit.
   *
   * @param tasks the number of tasks
   * @param onlyByUnreconciled whether the limit is reached only because of the resources that may
   *     be in use on unreconciled machines
   * @param usage the usage that counted against the limit when the tasks were not placed
   */
  public record QuotaLimitedTasks(
      JobSpec job, int tasks, boolean onlyByUnreconciled, QuotaUsage usage) {}
}
