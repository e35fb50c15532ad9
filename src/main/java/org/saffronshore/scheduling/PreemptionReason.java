package org.saffronshore.scheduling;

/** Why a cycle preempts a task; {@code toString} is the text for the log. */
public sealed interface PreemptionReason {

  /** The task was evicted in memory, and its place went to a team within its guarantee. */
  record EvictedForGuarantee() implements PreemptionReason {
    @Override
    public String toString() {
      return "another team's guarantee";
    }
  }

  /**
   * It makes room for a task within a team's guarantee.
   *
   * @param team the name of that team
   */
  record Guarantee(String team) implements PreemptionReason {
    @Override
    public String toString() {
      return "the guarantee of " + team;
    }
  }

  /**
   * It makes room for a task of higher priority.
   *
   * @param job the id of that task's job
   */
  record HigherPriority(String job) implements PreemptionReason {
    @Override
    public String toString() {
      return "higher priority of " + job;
    }
  }
}
