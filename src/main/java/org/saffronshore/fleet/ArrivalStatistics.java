package org.saffronshore.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;

/**
 * Statistics on the size and the arrival rate of the jobs of each class, collected since the start
 * of the leader's term. All times are in seconds on the event loop's clock.
 */
public final class ArrivalStatistics {
  private static final double EPSILON = 1e-6;

  /**
   * Jobs of a class are no longer expected when none has arrived for this many times the mean gap
   * between their arrivals.
   */
  private static final double MAX_GAPS_SINCE_LAST_ARRIVAL = 3;

  /** Statistics on the jobs of one class. */
  private static final class JobClass {
    JobSpec latest;
    int jobs;
    long tasks;
    final double firstAt;
    double lastAt;

    /** Arrivals within the last two windows, oldest first. */
    final ArrayDeque<Arrival> recent = new ArrayDeque<>();

    JobClass(JobSpec first, double now) {
      this.latest = first;
      this.firstAt = now;
    }

    void add(JobSpec job, boolean arrivedNow, double now) {
      latest = job;
      jobs++;
      tasks += job.tasks();
      lastAt = now;
      if (arrivedNow) {
        recent.addLast(new Arrival(now, job.tasks()));
      }
    }

    void removeArrivalsBefore(double time) {
      while (!recent.isEmpty() && recent.peekFirst().at < time) {
        recent.removeFirst();
      }
    }

    double meanGapS() {
      return jobs < 2 ? 0 : (lastAt - firstAt) / (jobs - 1);
    }

    double meanTasks() {
      return (double) tasks / jobs;
    }
  }

  private record Arrival(double at, int tasks) {}

  /**
   * A typical job of a class.
   *
   * @param task the latest job of the class, which specifies what each task requires
   * @param tasks the mean number of tasks
   */
  public record ExpectedJob(JobSpec task, double tasks) {}

  private final Map<String, JobClass> classes = new HashMap<>();
  private final double windowS;

  /**
   * Creates empty statistics.
   *
   * @param windowS the length of a window in seconds; tasks of a class are expected only after its
   *     jobs have arrived in two consecutive windows
   */
  public ArrivalStatistics(double windowS) {
    this.windowS = windowS;
  }

  /**
   * Records an open job.
   *
   * @param arrivedNow whether the job has just been submitted, rather than found waiting at the
   *     start of the term
   */
  public void recordJob(JobSpec job, boolean arrivedNow, double now) {
    classes
        .computeIfAbsent(job.jobClass(), name -> new JobClass(job, now))
        .add(job, arrivedNow, now);
  }

  /**
   * Returns the tasks of each class that are expected to arrive within a time at their recent
   * arrival rate. The rate is taken from the smaller of the counts in the last two windows, so that
   * a single burst of jobs is not taken for a steady stream.
   */
  public List<SchedulingPlan.UnplacedTasks> expectedTasks(double withinS, double now) {
    List<SchedulingPlan.UnplacedTasks> expected = new ArrayList<>();
    for (JobClass jobClass : classes.values()) {
      jobClass.removeArrivalsBefore(now - 2 * windowS);
      int inLastWindow = 0;
      int inWindowBefore = 0;
      for (Arrival arrival : jobClass.recent) {
        if (arrival.at >= now - windowS) {
          inLastWindow += arrival.tasks;
        } else {
          inWindowBefore += arrival.tasks;
        }
      }
      int tasks = (int) (Math.min(inLastWindow, inWindowBefore) / windowS * withinS);
      if (tasks > 0) {
        expected.add(new SchedulingPlan.UnplacedTasks(jobClass.latest, tasks));
      }
    }
    return expected;
  }

  /**
   * Returns a typical job of every class whose jobs still arrive, that is, whose last job did not
   * arrive several mean gaps ago.
   *
   * @param minGapS the lower bound for the mean gap, in seconds
   */
  public List<ExpectedJob> expectedJobs(double now, double minGapS) {
    List<ExpectedJob> expected = new ArrayList<>();
    for (JobClass jobClass : classes.values()) {
      if (now - jobClass.lastAt
          < MAX_GAPS_SINCE_LAST_ARRIVAL * Math.max(minGapS, jobClass.meanGapS())) {
        expected.add(new ExpectedJob(jobClass.latest, jobClass.meanTasks()));
      }
    }
    return expected;
  }

  /** Returns how many tasks of a job fit into an amount of free resources. */
  public static double fittingTasks(Resources free, JobSpec task) {
    double tasks = JobSpec.MAX_TASKS;
    if (task.cpus() > 0) {
      tasks = Math.floor((free.cpus + EPSILON) / task.cpus());
    }
    if (task.memoryGb() > 0) {
      tasks = Math.min(tasks, Math.floor((free.memoryGb + EPSILON) / task.memoryGb()));
    }
    if (task.gpus() > 0) {
      tasks = Math.min(tasks, Math.floor((free.gpus + EPSILON) / task.gpus()));
    }
    return Math.max(0, tasks);
  }
}
