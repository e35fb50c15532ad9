package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineKind;

/**
 * Forecasts when waiting tasks would start on the machines that there are, so that nothing is
 * rented for tasks that a new machine would not start sooner. A pure function; all times are
 * seconds of the event loop's clock.
 */
public final class Forecast {

  /** A running task that releases its resources when it is expected to end. */
  private record Release(double at, JobSpec job) {}

  /** A machine, with what is free on it now or when it is up, and what is released later. */
  public static final class MachineTimeline {
    private static final int TYPICAL_RELEASES = 4;

    private final MachineKind kind;
    private final Resources free;
    private double freeFrom;

    /** Sorted by time, the earliest last, so that it is taken off the end. */
    private final ArrayList<Release> releases = new ArrayList<>(TYPICAL_RELEASES);

    /** A machine with this much free from a moment on. */
    public MachineTimeline(MachineKind kind, Resources free, double freeFrom) {
      this.kind = kind;
      this.free = free;
      this.freeFrom = freeFrom;
    }

    public MachineKind kind() {
      return kind;
    }

    /** Adds a task whose resources are in use until it is expected to end. */
    public void addRunningTask(JobSpec job, double endsAt) {
      int index = releases.size();
      while (index > 0 && releases.get(index - 1).at <= endsAt) {
        index--;
      }
      releases.add(index, new Release(endsAt, job));
    }

    /** When a task of the job could start, or infinity when that is after the limit. */
    private double earliestStart(JobSpec job, double limit) {
      if (free.fits(job)) {
        return freeFrom;
      }
      double cpus = free.cpus;
      double gpus = free.gpus;
      double memoryGb = free.memoryGb;
      for (int i = releases.size() - 1; i >= 0; i--) {
        Release release = releases.get(i);
        if (release.at > limit) {
          break;
        }
        cpus += release.job.cpus();
        gpus += release.job.gpus();
        memoryGb += release.job.memoryGb();
        if (Resources.fits(job, cpus, gpus, memoryGb)) {
          return Math.max(freeFrom, release.at);
        }
      }
      return Double.POSITIVE_INFINITY;
    }

    /** Starts a task at a moment that {@link #earliestStart} has given. */
    private void place(JobSpec job, double start, double runtimeS) {
      while (!free.fits(job) && !releases.isEmpty()) {
        free.add(releases.remove(releases.size() - 1).job);
      }
      freeFrom = Math.max(freeFrom, start);
      free.subtract(job);
      addRunningTask(job, start + runtimeS);
    }
  }

  /** When a machine, given by its index, could start the next task of a job. */
  private record Start(double at, int machine) {
    static final Comparator<Start> ORDER =
        Comparator.comparingDouble(Start::at).thenComparingInt(Start::machine);
  }

  /**
   * A job of which some task cannot start in time on any machine. Machines only fill up during a
   * forecast, so jobs that require at least as much need not be tried.
   */
  private record Failure(JobSpec job, double latestStart) {
    boolean implies(JobSpec other, double otherLatestStart) {
      return otherLatestStart <= latestStart && other.requiresAtLeast(job);
    }
  }

  private Forecast() {}

  /**
   * The tasks that would start too late. The timelines are changed.
   *
   * @param queue in the order in which the tasks are placed
   * @param runtimeS how many seconds a task of a job is expected to run
   * @param latestStart the latest acceptable start of a job's tasks, such as the moment at which a
   *     machine rented now would be up
   */
  public static List<SchedulingPlan.UnplacedTasks> lateTasks(
      List<MachineTimeline> timelines,
      List<SchedulingPlan.UnplacedTasks> queue,
      ToDoubleFunction<JobSpec> runtimeS,
      ToDoubleFunction<JobSpec> latestStart) {
    List<SchedulingPlan.UnplacedTasks> late = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    for (SchedulingPlan.UnplacedTasks waiting : queue) {
      JobSpec job = waiting.job();
      double limit = latestStart.applyAsDouble(job);
      int left = waiting.tasks();
      if (failures.stream().noneMatch(failure -> failure.implies(job, limit))) {
        left = place(timelines, job, left, limit, runtimeS.applyAsDouble(job));
        if (left > 0) {
          failures.add(new Failure(job, limit));
        }
      }
      if (left > 0) {
        late.add(new SchedulingPlan.UnplacedTasks(job, left));
      }
    }
    return late;
  }

  /** Places tasks of a job where they start first; returns how many cannot start in time. */
  private static int place(
      List<MachineTimeline> timelines, JobSpec job, int tasks, double limit, double runtimeS) {
    PriorityQueue<Start> starts = new PriorityQueue<>(Start.ORDER);
    for (int i = 0; i < timelines.size(); i++) {
      if (timelines.get(i).kind.allows(job)) {
        addStart(starts, timelines, i, job, limit);
      }
    }
    int left = tasks;
    while (left > 0 && !starts.isEmpty()) {
      Start first = starts.poll();
      timelines.get(first.machine).place(job, first.at, runtimeS);
      addStart(starts, timelines, first.machine, job, limit);
      left--;
    }
    return left;
  }

  private static void addStart(
      PriorityQueue<Start> starts,
      List<MachineTimeline> timelines,
      int machine,
      JobSpec job,
      double limit) {
    double at = timelines.get(machine).earliestStart(job, limit);
    if (at <= limit) {
      starts.add(new Start(at, machine));
    }
  }
}
