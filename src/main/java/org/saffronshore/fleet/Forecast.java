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
 * Forecasts when waiting tasks would start on the existing machines, so that no machine is rented
 * for tasks that it would not start sooner. A pure function. All times are in seconds on the event
 * loop's clock.
 */
public final class Forecast {

  /** The resources of a running task, which are released when the task is expected to end. */
  private record Release(double at, JobSpec job) {}

  /**
   * The resources of a machine over time: those that are free now, or as soon as the machine is up,
   * and those that running tasks release later.
   */
  public static final class MachineTimeline {
    private static final int TYPICAL_RELEASES = 4;

    private final MachineKind kind;
    private final Resources free;
    private double freeFrom;

    /**
     * Sorted by time in descending order, so that the earliest is removed from the end of the list.
     */
    private final ArrayList<Release> releases = new ArrayList<>(TYPICAL_RELEASES);

    /**
     * Creates a timeline without running tasks.
     *
     * @param free the free resources; modified by the forecast
     * @param freeFrom when the resources are available
     */
    public MachineTimeline(MachineKind kind, Resources free, double freeFrom) {
      this.kind = kind;
      this.free = free;
      this.freeFrom = freeFrom;
    }

    public MachineKind kind() {
      return kind;
    }

    /** Adds a task that uses its resources until it is expected to end. */
    public void addRunningTask(JobSpec job, double endsAt) {
      int index = releases.size();
      while (index > 0 && releases.get(index - 1).at <= endsAt) {
        index--;
      }
      releases.add(index, new Release(endsAt, job));
    }

    /**
     * Returns the earliest time at which a task of the job could start, or infinity if the
     * resources for it are not released by the limit.
     */
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

    /** Places a task at the time that {@link #earliestStart} has returned. */
    private void place(JobSpec job, double start, double runtimeS) {
      while (!free.fits(job) && !releases.isEmpty()) {
        free.add(releases.remove(releases.size() - 1).job);
      }
      freeFrom = Math.max(freeFrom, start);
      free.subtract(job);
      addRunningTask(job, start + runtimeS);
    }
  }

  /**
   * The earliest time at which a machine, given by its index, could start the next task of a job.
   */
  private record Start(double at, int machine) {
    static final Comparator<Start> ORDER =
        Comparator.comparingDouble(Start::at).thenComparingInt(Start::machine);
  }

  /**
   * A job with a task that cannot start in time on any machine. Free resources only decrease during
   * a forecast, so jobs that require at least as much and have no later limit need not be tried.
   */
  private record Failure(JobSpec job, double latestStart) {
    boolean implies(JobSpec other, double otherLatestStart) {
      return otherLatestStart <= latestStart && other.requiresAtLeast(job);
    }
  }

  private Forecast() {}

  /**
   * Returns the tasks that would start too late.
   *
   * @param timelines the existing machines; modified by this method
   * @param queue the waiting tasks, in the order in which they are placed
   * @param runtimeS the expected running time of a job's tasks, in seconds
   * @param latestStart the latest acceptable start of a job's tasks, such as the time at which a
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
      int remaining = waiting.tasks();
      if (failures.stream().noneMatch(failure -> failure.implies(job, limit))) {
        remaining = place(timelines, job, remaining, limit, runtimeS.applyAsDouble(job));
        if (remaining > 0) {
          failures.add(new Failure(job, limit));
        }
      }
      if (remaining > 0) {
        late.add(new SchedulingPlan.UnplacedTasks(job, remaining));
      }
    }
    return late;
  }

  /**
   * Places each task of a job on the machine where it starts earliest; returns the number of tasks
   * that cannot start in time.
   */
  private static int place(
      List<MachineTimeline> timelines, JobSpec job, int tasks, double limit, double runtimeS) {
    PriorityQueue<Start> starts = new PriorityQueue<>(Start.ORDER);
    for (int i = 0; i < timelines.size(); i++) {
      if (timelines.get(i).kind.isAllowedFor(job)) {
        addStart(starts, timelines, i, job, limit);
      }
    }
    int remaining = tasks;
    while (remaining > 0 && !starts.isEmpty()) {
      Start first = starts.poll();
      timelines.get(first.machine).place(job, first.at, runtimeS);
      addStart(starts, timelines, first.machine, job, limit);
      remaining--;
    }
    return remaining;
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
