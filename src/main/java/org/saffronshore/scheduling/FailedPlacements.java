package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.wire.JobSpec;

/**
 * What one cycle found no place for. Room only shrinks as tasks are placed, so what asks for at
 * least as much, and may go to no more machines, need not be tried: with a long queue on a full
 * cluster, that is most of the work.
 */
final class FailedPlacements {
  private final List<JobSpec> noRoom = new ArrayList<>();
  private final Set<Try> noVictims = new HashSet<>();

  private record Try(
      String team,
      int priority,
      boolean guaranteed,
      double cpus,
      double gpus,
      double memoryGb,
      List<String> types,
      String zone,
      boolean spot) {

    static Try of(JobSpec job, boolean guaranteed) {
      return new Try(
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

  boolean noRoom(JobSpec job) {
    for (JobSpec failed : noRoom) {
      if (job.requiresAtLeast(failed)) {
        return true;
      }
    }
    return false;
  }

  void addNoRoom(JobSpec job) {
    noRoom.add(job);
  }

  boolean noVictims(JobSpec job, boolean guaranteed) {
    return !noVictims.isEmpty() && noVictims.contains(Try.of(job, guaranteed));
  }

  void addNoVictims(JobSpec job, boolean guaranteed) {
    noVictims.add(Try.of(job, guaranteed));
  }

  /** A team has more than before: more of it may be beyond its guarantee, and so be stopped. */
  void onTeamsChanged() {
    noVictims.clear();
  }

  /** Tasks are to be stopped: there is room where there was none. */
  void onRoomMade() {
    noRoom.clear();
    noVictims.clear();
  }
}
