package org.saffronshore.cluster;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.wire.JobSpec;

/**
 * Estimates how long tasks run: the owners' estimates, corrected by the running times observed in
 * this term.
 */
final class RuntimeEstimator {
  /**
   * Weight of the uncorrected estimates: they dominate until about this much running time of a job
   * class has been observed, in seconds.
   */
  private static final double PRIOR_WEIGHT_S = 200;

  /**
   * The estimate of the remaining time is at least the expected runtime divided by this number. The
   * bound takes effect for tasks that outlast their estimate.
   */
  private static final double OVERRUN_DIVISOR = 5;

  /** Total running time of the completed tasks of one job class, and their owners' estimates. */
  private static final class ObservedRuntimes {
    double actualS;
    double estimatedS;
  }

  private final Map<String, ObservedRuntimes> observedByClass = new HashMap<>();

  /**
   * Returns how much longer a task is expected to run, in seconds.
   *
   * @param runningSince when the task started to run, in seconds; NaN if it is not running yet
   * @param now the current time in seconds
   */
  double remainingRuntimeS(JobSpec job, double runningSince, double now) {
    double expectedS = expectedRuntimeS(job);
    double elapsedS = Double.isNaN(runningSince) ? 0 : now - runningSince;
    return Math.max(expectedS - elapsedS, expectedS / OVERRUN_DIVISOR);
  }

  /**
   * Returns how long a task of a job is expected to run, in seconds: the owner's estimate,
   * corrected by the observed running times of its job class.
   */
  double expectedRuntimeS(JobSpec job) {
    ObservedRuntimes observed = observedByClass.get(job.jobClass());
    return job.estimatedRuntimeS()
        * (observed == null
            ? 1
            : (observed.actualS + PRIOR_WEIGHT_S) / (observed.estimatedS + PRIOR_WEIGHT_S));
  }

  /**
   * Records the running time of an attempt that has completed its task, by job class. Ignores an
   * attempt whose running time this leader does not know.
   */
  void attemptCompleted(Attempt attempt, double now) {
    JobSpec job = attempt.job();
    if (job != null && !Double.isNaN(attempt.runningSince()) && attempt.wasObservedFromStart()) {
      ObservedRuntimes observed =
          observedByClass.computeIfAbsent(job.jobClass(), jobClass -> new ObservedRuntimes());
      observed.actualS += now - attempt.runningSince();
      observed.estimatedS += job.estimatedRuntimeS();
    }
  }
}
