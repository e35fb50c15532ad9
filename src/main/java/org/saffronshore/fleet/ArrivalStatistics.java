package org.saffronshore.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;

/** What jobs of each class look like and how often they come, as far as this term has seen. */
public final class ArrivalStatistics {

  private static final class Seen {
    JobSpec example;
    int jobs;
    long tasks;
    double firstAt;
    double lastAt;

    /** Jobs that came lately. */
    final ArrayDeque<Recent> recent = new ArrayDeque<>();
  }

  private record Recent(double at, int tasks) {}

  /** A typical job of a class that is to find room at once. */
  public record ExpectedJob(JobSpec task, double tasks) {}

  private final Map<String, Seen> classes = new HashMap<>();
  private final double spanS;

  /**
   * @param spanS jobs must come for twice this time before more of their like are expected
   */
  public ArrivalStatistics(double spanS) {
    this.spanS = spanS;
  }

  /**
   * Counts an open job.
   *
   * @param fresh whether the job came just now, and was not found waiting
   */
  public void jobArrived(JobSpec job, boolean fresh, double now) {
    Seen seen = classes.computeIfAbsent(job.jobClass(), c -> new Seen());
    if (seen.jobs == 0) {
      seen.firstAt = now;
    }
    seen.example = job;
    seen.jobs++;
    seen.tasks += job.tasks();
    seen.lastAt = now;
    if (fresh) {
      seen.recent.addLast(new Recent(now, job.tasks()));
    }
  }

  /**
   * Tasks of each class that are to come within some time, if they come as they did lately. Of the
   * last two spans the leaner one counts, so that a heap of jobs that come at once is not taken for
   * a stream of them.
   */
  public List<SchedulingPlan.UnplacedTasks> expectedTasks(double seconds, double now) {
    List<SchedulingPlan.UnplacedTasks> all = new ArrayList<>();
    for (Seen s : classes.values()) {
      while (!s.recent.isEmpty() && s.recent.peekFirst().at < now - 2 * spanS) {
        s.recent.removeFirst();
      }
      int last = 0;
      int before = 0;
      for (Recent r : s.recent) {
        if (r.at >= now - spanS) {
          last += r.tasks;
        } else {
          before += r.tasks;
        }
      }
      int tasks = (int) (Math.min(last, before) / spanS * seconds);
      if (tasks > 0) {
        all.add(new SchedulingPlan.UnplacedTasks(s.example, tasks));
      }
    }
    return all;
  }

  /**
   * A typical job of every class that still comes: one that has not stayed away for several of its
   * usual gaps.
   */
  public List<ExpectedJob> expectedJobs(double now, double minGapS) {
    List<ExpectedJob> all = new ArrayList<>();
    for (Seen s : classes.values()) {
      double gap = Math.max(minGapS, s.jobs < 2 ? 0 : (s.lastAt - s.firstAt) / (s.jobs - 1));
      if (now - s.lastAt < 3 * gap) {
        all.add(new ExpectedJob(s.example, (double) s.tasks / s.jobs));
      }
    }
    return all;
  }

  /** How many tasks like this one fit into some room. */
  public static double fitting(Resources room, JobSpec task) {
    double n = task.cpus() > 0 ? Math.floor((room.cpus + 1e-6) / task.cpus()) : JobSpec.MAX_TASKS;
    n = task.memoryGb() > 0 ? Math.min(n, Math.floor((room.memoryGb + 1e-6) / task.memoryGb())) : n;
    n = task.gpus() > 0 ? Math.min(n, Math.floor((room.gpus + 1e-6) / task.gpus())) : n;
    return Math.max(0, n);
  }
}
