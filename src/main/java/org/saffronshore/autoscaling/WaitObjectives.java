package org.saffronshore.autoscaling;

import java.util.List;
import org.saffronshore.config.Objective;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;

/** The service level objectives for the time that tasks of a job class wait for their start. */
final class WaitObjectives {
  /** The kind of objectives for the waiting time, as in the settings file. */
  private static final String KIND_WAIT = "wait";

  private final List<Objective> objectives;

  WaitObjectives(Settings settings) {
    this.objectives = settings.objectives();
  }

  /** Returns whether there is a wait objective for the job's class. */
  boolean hasObjectiveFor(JobSpec job) {
    return shortestWaitS(job) < Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the shortest wait in seconds that a wait objective sets for the job's class; infinity
   * if there is none.
   */
  double shortestWaitS(JobSpec job) {
    return objectives.stream()
        .filter(
            objective ->
                objective.kind().equals(KIND_WAIT) && job.jobClass().equals(objective.jobClass()))
        .mapToDouble(Objective::withinS)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }
}
