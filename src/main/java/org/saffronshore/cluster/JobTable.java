package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs of one term with their dependencies, and which of these jobs have state that still
 * has to be written to the state service.
 */
public final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  /** Length of an arrival window in worker leases; the arrival rate is taken over two windows. */
  private static final double ARRIVAL_WINDOW_LEASES = 0.5;

  private final EventLoop loop;
  private final ArrivalStatistics arrivals;

  /**
   * The version of the leader key that was written when this term began. Tasks of jobs with a
   * higher version cannot have been launched by an earlier leader.
   */
  private final long leaderKeyVersion;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final DependencyGraph dependencies = new DependencyGraph();
  private final Set<Job> jobsWithUnsavedTasks = new LinkedHashSet<>();
  private final Set<Job> completedJobs = new LinkedHashSet<>();
  private final Set<Job> jobsAwaitingLaunchWatermark = new LinkedHashSet<>();

  JobTable(EventLoop loop, Settings settings, long leaderKeyVersion, Runnable onChange) {
    this.loop = loop;
    this.arrivals = new ArrivalStatistics(ARRIVAL_WINDOW_LEASES * settings.workerLeaseS());
    this.leaderKeyVersion = leaderKeyVersion;
    this.onChange = onChange;
  }

  /** Returns the statistics of the jobs that have become ready. */
  ArrivalStatistics arrivals() {
    return arrivals;
  }

  Collection<Job> all() {
    return jobs.values();
  }

  @Nullable Job get(String id) {
    return jobs.get(id);
  }

  /**
   * Returns whether the job was accepted before this term began, so that an earlier leader may have
   * launched its tasks.
   */
  boolean wasAcceptedBeforeTerm(Job job) {
    return job.version() < leaderKeyVersion;
  }

  /**
   * Adds an open job, unless the table already contains it.
   *
   * @param launchWatermark tasks with this index or a higher one were never launched
   */
  void add(
      JobSpec spec, long version, long submittedAtMs, BitSet finishedTasks, int launchWatermark) {
    if (jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, version, submittedAtMs, finishedTasks, launchWatermark);
    jobs.put(spec.id(), job);
    dependencies.add(spec.id(), spec.priority(), spec.dependencies());
    if (spec.dependencies().isEmpty()) {
      arrivals.recordJob(spec, version > leaderKeyVersion, loop.now());
    } else {
      job.markNotReady();
      updateReadiness(job);
    }
    updatePriorities();
    if (job.isComplete()) {
      completedJobs.add(job);
    }
    onChange.run();
  }

  /** Returns the dependencies between the open jobs. */
  DependencyGraph dependencies() {
    return dependencies;
  }

  /**
   * Records how a job ended, which may make its dependents ready.
   *
   * @param done whether the job is done; false if it was cancelled
   * @param endedAtMs wall-clock time in milliseconds
   */
  void jobEnded(String id, boolean done, long endedAtMs) {
    dependencies.jobEnded(id, done, endedAtMs);
    for (String dependent : dependencies.dependents(id)) {
      Job job = jobs.get(dependent);
      if (job != null) {
        updateReadiness(job);
      }
    }
  }

  private void updateReadiness(Job job) {
    if (!job.isReady() && dependencies.isReady(job.id())) {
      LOG.debug("All dependencies are done: job={}", job.id());
      job.markReady(dependencies.readyAtMs(job.id()));
      arrivals.recordJob(job.spec(), job.version() > leaderKeyVersion, loop.now());
      onChange.run();
    }
  }

  private void updatePriorities() {
    dependencies
        .recomputeEffectivePriorities()
        .forEach(
            (id, priority) -> {
              Job job = jobs.get(id);
              if (job != null && job.spec().priority() != priority) {
                job.reprioritize(priority);
                onChange.run();
              }
            });
  }

  /** Removes a job that has ended. Returns the job, or null if it was not open. */
  @Nullable Job remove(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return null;
    }
    dependencies.remove(id);
    updatePriorities();
    jobsWithUnsavedTasks.remove(job);
    completedJobs.remove(job);
    jobsAwaitingLaunchWatermark.remove(job);
    return job;
  }

  /**
   * Marks finished tasks as stored in the state service. Workers need not keep their exited
   * attempts any longer.
   */
  void finishedTasksSaved(Job job, BitSet tasks) {
    job.finishedTasksSaved(tasks);
    if (!job.hasUnsavedTasks()) {
      jobsWithUnsavedTasks.remove(job);
    }
  }

  /**
   * Returns the jobs with finished tasks that are not yet stored in the state service. The set is a
   * live view.
   */
  Set<Job> jobsWithUnsavedTasks() {
    return jobsWithUnsavedTasks;
  }

  /**
   * Returns the jobs with placed tasks that may be launched only after a higher launch watermark
   * has been written. The set is a live view.
   */
  Set<Job> jobsAwaitingLaunchWatermark() {
    return jobsAwaitingLaunchWatermark;
  }

  /**
   * Records that the state service has stored a launch watermark: tasks of the job below it may be
   * launched.
   */
  void launchWatermarkSaved(Job job, int watermark) {
    if (job.launchWatermarkSaved(watermark)) {
      jobsAwaitingLaunchWatermark.remove(job);
    }
  }

  /** Returns the open jobs whose tasks are all finished. The set is a live view. */
  Set<Job> completedJobs() {
    return completedJobs;
  }
}
