package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;

/**
 * Remembers within one cycle which jobs found no place. Room only shrinks as tasks are placed, so
 * another job that requires at least as much, and is allowed on no more machines, need not be
 * tried. With a long queue on a full cluster that saves most of the work.
 */
final class FailedPlacements {
  private final List<JobSpec> unplaceableJobs = new ArrayList<>();
  private final Set<VictimSearch> searchesWithoutVictims = new HashSet<>();

  /** All that the search for victims depends on, other than constraints on the job's own tasks. */
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

  /** Whether a job that requires no more than this one fits on no machine. */
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

  /** Whether a search like this one found no tasks to preempt. */
  boolean isKnownToHaveNoVictims(JobSpec job, boolean guaranteed) {
    return !searchesWithoutVictims.isEmpty()
        && searchesWithoutVictims.contains(VictimSearch.of(job, guaranteed));
  }

  void addSearchWithoutVictims(JobSpec job, boolean guaranteed) {
    searchesWithoutVictims.add(VictimSearch.of(job, guaranteed));
  }

  /** A team's share has grown: more of its tasks may be beyond its guarantee, and be preempted. */
  void onTeamShareIncreased() {
    searchesWithoutVictims.clear();
  }

  /** Tasks are to be preempted: there is room where there was none. */
  void onTasksPreempted() {
    unplaceableJobs.clear();
    searchesWithoutVictims.clear();
  }
}
