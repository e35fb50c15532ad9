package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;

/**
 * Records which jobs could not be placed earlier in the same cycle. Placing tasks only reduces the
 * free resources, so a job that requires at least as much as a failed one, and is allowed on no
 * additional machines, need not be tried. With a long queue on a full cluster this saves most of
 * the work.
 */
final class FailedPlacements {
  private final List<JobSpec> unplaceableJobs = new ArrayList<>();
  private final Set<VictimSearch> searchesWithoutVictims = new HashSet<>();

  /**
   * The inputs of a search for tasks to preempt, except the constraints that depend on the job's
   * other tasks.
   */
  private record VictimSearch(
      String team,
      int priority,
      boolean guaranteed,
      double cpus,
      double gpus,
      double memoryGb,
      @Nullable List<String> machineTypes,
      @Nullable String zone,
      boolean spot) {

    static VictimSearch of(JobSpec job, boolean guaranteed) {
      return new VictimSearch(
          job.team(),
          job.priority().rank(),
          guaranteed,
          job.cpus(),
          job.gpus(),
          job.memoryGb(),
          job.machineTypes(),
          job.zone(),
          job.spot());
    }
  }

  /** Returns whether a job that requires no more than this one is known to fit on no machine. */
  boolean isKnownUnplaceable(JobSpec job) {
    for (JobSpec failed : unplaceableJobs) {
      if (job.requiresAtLeast(failed)) {
        return true;
      }
    }
    return false;
  }

  void addUnplaceable(JobSpec job) {
    unplaceableJobs.add(job);
  }

  /** Returns whether an equivalent search has found no tasks to preempt. */
  boolean isKnownToHaveNoVictims(JobSpec job, boolean guaranteed) {
    return !searchesWithoutVictims.isEmpty()
        && searchesWithoutVictims.contains(VictimSearch.of(job, guaranteed));
  }

  void addSearchWithoutVictims(JobSpec job, boolean guaranteed) {
    searchesWithoutVictims.add(VictimSearch.of(job, guaranteed));
  }

  /**
   * Discards the failed preemption searches after a team's share has increased: more of its tasks
   * may now be beyond its guarantee, and may therefore be preempted.
   */
  void onTeamShareIncreased() {
    searchesWithoutVictims.clear();
  }

  /**
   * Discards all recorded failures after tasks were selected for preemption, which makes more
   * resources available.
   */
  void onTasksPreempted() {
    unplaceableJobs.clear();
    searchesWithoutVictims.clear();
  }
}
