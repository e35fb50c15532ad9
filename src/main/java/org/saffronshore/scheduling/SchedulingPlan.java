package org.saffronshore.scheduling;

import java.util.List;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * What a cycle decided.
 *
 * @param placements tasks to start, in the order in which they were placed
 * @param preemptions tasks to stop
 * @param unplaced tasks that fit nowhere, in the order in which they were tried
 * @param quotaLimited tasks that a limit holds back
 */
public record SchedulingPlan(
    List<Placement> placements,
    List<Preemption> preemptions,
    List<UnplacedTasks> unplaced,
    List<QuotaLimitedTasks> quotaLimited) {

  /**
   * A task that is to be started.
   *
   * @param machine the machine's id
   * @param overdue whether it was placed before all others since its job had waited for very long
   * @param usageBefore what counted against its team's limit before it was placed
   */
  public record Placement(TaskId task, String machine, boolean overdue, QuotaUsage usageBefore) {}

  /**
   * A task that is to be stopped.
   *
   * @param machine the machine's id
   */
  public record Preemption(TaskId task, String machine, PreemptionReason reason) {}

  /**
   * Tasks of a job that found no place although the team's limit lets them run.
   *
   * @param tasks how many tasks; 0 when the limit lets less than one of them run
   */
  public record UnplacedTasks(JobSpec job, int tasks) {}

  /**
   * Tasks of a job that the team's limit holds back.
   *
   * @param tasks how many tasks
   * @param onlyByUnreconciled whether only by what may be on unreconciled machines
   * @param usage what counted against the limit then
   */
  public record QuotaLimitedTasks(
      JobSpec job, int tasks, boolean onlyByUnreconciled, QuotaUsage usage) {}
}
