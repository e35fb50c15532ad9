package org.saffronshore.scheduling;

/** The reason why a cycle preempts a task; {@code toString} returns the text for log lines. */
public sealed interface PreemptionReason {

  /**
   * The task was evicted in memory and could not be placed again on its machine: its resources were
   * given to a team that is within its guarantee.
   */
  record EvictedForGuarantee() implements PreemptionReason {
    @Override
    public String toString() {
      return "another team's guarantee";
    }
  }

  /**
   * The task is preempted for a task within a team's guarantee.
   *
   * @param team the name of the team with the guarantee
   */
  record Guarantee(String team) implements PreemptionReason {
    @Override
    public String toString() {
      return "the guarantee of " + team;
    }
  }

  /**
   * The task is preempted for a task of higher priority.
   *
   * @param job the id of the job of the task with the higher priority
   */
  record HigherPriority(String job) implements PreemptionReason {
    @Override
    public String toString() {
      return "higher priority of " + job;
    }
  }
}
