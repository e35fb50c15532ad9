package org.saffronshore.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.JobSpec;

/**
 * Foretells when waiting tasks would start on the machines that there are, so that nothing is
 * rented for those that a new machine would not start sooner. A pure function.
 */
public final class Forecast {

  /** A task that leaves its room at a time. */
  private record Release(double at, JobSpec job) {}

  /** A machine, with what is free on it now or when it is up, and what becomes free later. */
  public static final class MachineTimeline {
    private final MachineKind kind;
    private final Resources room;
    private double openAt;

    /** The earliest last, so that it is taken off the end. */
    private final ArrayList<Release> releases = new ArrayList<>(4);

    /** A machine with this much free from a moment on. */
    public MachineTimeline(MachineKind kind, Resources room, double openAt) {
      this.kind = kind;
      this.room = room;
      this.openAt = openAt;
    }

    public MachineKind kind() {
      return kind;
    }

    /** A task that is there already and is expected to end at a time. */
    public void running(JobSpec job, double until) {
      int i = releases.size();
      while (i > 0 && releases.get(i - 1).at <= until) {
        i--;
      }
      releases.add(i, new Release(until, job));
    }

    /** When it has room for the job, or infinity when that is after the limit. */
    private double startOf(JobSpec job, double limit) {
      if (room.fits(job)) {
        return openAt;
      }
      double cpus = room.cpus;
      double gpus = room.gpus;
      double memoryGb = room.memoryGb;
      for (int i = releases.size() - 1; i >= 0; i--) {
        Release r = releases.get(i);
        if (r.at > limit) {
          break;
        }
        cpus += r.job.cpus();
        gpus += r.job.gpus();
        memoryGb += r.job.memoryGb();
        if (Resources.fits(job, cpus, gpus, memoryGb)) {
          return Math.max(openAt, r.at);
        }
      }
      return Double.POSITIVE_INFINITY;
    }

    private void put(JobSpec job, double start, double lasts) {
      while (!room.fits(job) && !releases.isEmpty()) {
        room.add(releases.remove(releases.size() - 1).job);
      }
      openAt = Math.max(openAt, start);
      room.subtract(job);
      running(job, start + lasts);
    }
  }

  /** A line, by its place among all, and when it could take the next task of a job. */
  private record Start(double at, int line) {
    static final Comparator<Start> ORDER =
        Comparator.comparingDouble(Start::at).thenComparingInt(Start::line);
  }

  /** What no line takes in time: lines only fill up, so what asks for no less need not be tried. */
  private record Failure(JobSpec job, double limit) {}

  private Forecast() {}

  /**
   * The tasks that would start later than a machine rented now could take them.
   *
   * @param lasts how long a task is expected to take
   * @param helpAt when a machine rented now for a task would be up
   */
  public static List<SchedulingPlan.UnplacedTasks> late(
      List<MachineTimeline> lines,
      List<SchedulingPlan.UnplacedTasks> queue,
      ToDoubleFunction<JobSpec> lasts,
      ToDoubleFunction<JobSpec> helpAt) {
    List<SchedulingPlan.UnplacedTasks> late = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    for (SchedulingPlan.UnplacedTasks u : queue) {
      JobSpec job = u.job();
      double limit = helpAt.applyAsDouble(job);
      int left = u.tasks();
      if (failures.stream().noneMatch(f -> limit <= f.limit && job.requiresAtLeast(f.job))) {
        left = put(lines, job, left, limit, lasts.applyAsDouble(job));
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

  /** Puts tasks of a job on the lines that take them first; how many found none in time. */
  private static int put(
      List<MachineTimeline> lines, JobSpec job, int tasks, double limit, double lasts) {
    PriorityQueue<Start> starts = new PriorityQueue<>(Start.ORDER);
    for (int i = 0; i < lines.size(); i++) {
      if (lines.get(i).kind.allows(job)) {
        offer(starts, lines, i, job, limit);
      }
    }
    int left = tasks;
    while (left > 0 && !starts.isEmpty()) {
      Start best = starts.poll();
      lines.get(best.line).put(job, best.at, lasts);
      offer(starts, lines, best.line, job, limit);
      left--;
    }
    return left;
  }

  private static void offer(
      PriorityQueue<Start> starts,
      List<MachineTimeline> lines,
      int line,
      JobSpec job,
      double limit) {
    double at = lines.get(line).startOf(job, limit);
    if (at <= limit) {
      starts.add(new Start(at, line));
    }
  }
}
