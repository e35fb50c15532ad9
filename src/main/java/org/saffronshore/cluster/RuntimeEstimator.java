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
  private static final double PRIOR_RUNS_S = 200;

  /**
   * For each class, seconds that finished tasks ran and seconds that their owners had estimated.
   */
  private final Map<String, double[]> seenRuns = new HashMap<>();

  double remainingRuntimeS(Attempt a, double now) {
    double whole = expectedRuntimeS(a.job);
    double spent = Double.isNaN(a.runningSince) ? 0 : now - a.runningSince;
    // A task that outlasts its estimate is as likely as not to go on for a good part of it.
    return Math.max(whole - spent, whole / 5);
  }

  /**
   * How long a task of a job is expected to run: the owner's estimate, corrected by what its class
   * was seen to take.
   */
  public double expectedRuntimeS(JobSpec job) {
    double[] seen = seenRuns.get(job.jobClass());
    return job.estimatedRuntimeS()
        * (seen == null ? 1 : (seen[0] + PRIOR_RUNS_S) / (seen[1] + PRIOR_RUNS_S));
  }

  /** A task came to its end: what it took says something of others of its class. */
  void learn(Attempt a, double now) {
    if (a.job != null && !Double.isNaN(a.runningSince) && a.observedFromStart) {
      double[] seen = seenRuns.computeIfAbsent(a.job.jobClass(), c -> new double[2]);
      seen[0] += now - a.runningSince;
      seen[1] += a.job.estimatedRuntimeS();
    }
  }
}
