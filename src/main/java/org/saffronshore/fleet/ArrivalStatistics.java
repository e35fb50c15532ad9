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
 * What the jobs of each class look like and how often they arrive, as far as this term has seen.
 * All times are seconds of the event loop's clock.
 */
public final class ArrivalStatistics {
  private static final double EPSILON = 1e-6;

  /** A class counts as ended when no job of it has arrived for this many of its usual gaps. */
  private static final double MAX_GAPS_SINCE_LAST_ARRIVAL = 3;

  /** The jobs of one class. */
  private static final class JobClass {
    JobSpec latest;
    int jobs;
    long tasks;
    final double firstAt;
    double lastAt;

    /** Arrivals within the last two windows, the oldest first. */
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
   * @param task what each of its tasks needs
   * @param tasks how many tasks it has on average
   */
  public record ExpectedJob(JobSpec task, double tasks) {}

  private final Map<String, JobClass> classes = new HashMap<>();
  private final double windowS;

  /**
   * Creates empty statistics.
   *
   * @param windowS jobs have to arrive for twice this time before more of their class are expected
   */
  public ArrivalStatistics(double windowS) {
    this.windowS = windowS;
  }

  /**
   * Counts an open job.
   *
   * @param arrivedNow whether the job was submitted just now, and not found waiting when the term
   *     began
   */
  public void recordJob(JobSpec job, boolean arrivedNow, double now) {
    classes
        .computeIfAbsent(job.jobClass(), name -> new JobClass(job, now))
        .add(job, arrivedNow, now);
  }

  /**
   * The tasks of each class that will arrive within a time if they arrive as they did recently. The
   * smaller count of the last two windows is used, so that a burst of jobs does not count as a
   * steady stream.
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
   * A typical job of every class that still arrives: whose last job is not several of its usual
   * gaps ago.
   *
   * @param minGapS shorter gaps count as this long
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

  /** How many tasks like this one fit into what is free. */
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
