package org.saffronshore.autoscaling;

import java.util.List;
import org.saffronshore.config.Objective;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.JobSpec;

/** The users' objectives for how long tasks of a class wait for their start. */
final class WaitObjectives {
  /** What the settings call an objective for the waiting time. */
  private static final String KIND_WAIT = "wait";

  private final List<Objective> objectives;

  WaitObjectives(Settings settings) {
    this.objectives = settings.objectives();
  }

  /** Whether there is an objective for the job's class. */
  boolean hasObjectiveFor(JobSpec job) {
    return shortestWaitS(job) < Double.POSITIVE_INFINITY;
  }

  /** The shortest wait in seconds that an objective sets for the job's class; infinity for none. */
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
