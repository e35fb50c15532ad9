package org.saffronshore.cluster;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;

/**
 * How long tasks are expected to run: the owners' estimates, corrected by what was seen in this
 * term.
 */
final class RuntimeEstimator {
  /** Owners' estimates are trusted until about this much running time of a class was seen. */
  private static final double PRIOR_WEIGHT_S = 200;

  /** A task that outlasts its estimate is expected to run on for this part of it. */
  private static final double OVERRUN_DIVISOR = 5;

  /** What the finished tasks of one class ran, and what their owners had estimated. */
  private static final class ObservedRuntimes {
    double actualS;
    double estimatedS;
  }

  private final Map<String, ObservedRuntimes> observedByClass = new HashMap<>();

  /**
   * How long a task is expected to run on.
   *
   * @param runningSince NaN when it does not run yet
   */
  double remainingRuntimeS(JobSpec job, double runningSince, double now) {
    double expectedS = expectedRuntimeS(job);
    double spentS = Double.isNaN(runningSince) ? 0 : now - runningSince;
    return Math.max(expectedS - spentS, expectedS / OVERRUN_DIVISOR);
  }

  /**
   * How long a task of a job is expected to run: the owner's estimate, corrected by what its class
   * was seen to take.
   */
  double expectedRuntimeS(JobSpec job) {
    ObservedRuntimes observed = observedByClass.get(job.jobClass());
    return job.estimatedRuntimeS()
        * (observed == null
            ? 1
            : (observed.actualS + PRIOR_WEIGHT_S) / (observed.estimatedS + PRIOR_WEIGHT_S));
  }

  /** A task has completed: what it took says something of others of its class. */
  void attemptCompleted(Attempt attempt, double now) {
    JobSpec job = attempt.job();
    if (job != null && !Double.isNaN(attempt.runningSince()) && attempt.wasObservedFromStart()) {
      ObservedRuntimes observed =
          observedByClass.computeIfAbsent(job.jobClass(), name -> new ObservedRuntimes());
      observed.actualS += now - attempt.runningSince();
      observed.estimatedS += job.estimatedRuntimeS();
    }
  }
}
