package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The open jobs of one term with their dependencies, and which of them have something that the
 * state service does not know yet.
 */
public final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final EventLoop loop;
  private final ArrivalStatistics arrivals;

  /** Version of the leader's key: jobs accepted later cannot have been started by anyone else. */
  private final long termVersion;

  /** What to do when something has happened that may let a task be placed. */
  private final Runnable onChange;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final DependencyGraph dependencies = new DependencyGraph();
  private final Set<Job> unsavedJobs = new LinkedHashSet<>();
  private final Set<Job> completedJobs = new LinkedHashSet<>();
  private final Set<Job> awaitingLaunchWatermark = new LinkedHashSet<>();

  JobTable(EventLoop loop, ArrivalStatistics arrivals, long termVersion, Runnable onChange) {
    this.loop = loop;
    this.arrivals = arrivals;
    this.termVersion = termVersion;
    this.onChange = onChange;
  }

  Collection<Job> all() {
    return jobs.values();
  }

  @Nullable Job get(String id) {
    return jobs.get(id);
  }

  /** Whether the job was accepted before this term began, and may thus have been launched. */
  boolean isOlderThanTerm(Job job) {
    return job.version() < termVersion;
  }

  /**
   * Adds an open job; a job that is known already stays as it is.
   *
   * @param launchWatermark no task from this one on was ever launched
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
      arrivals.recordJob(spec, version > termVersion, loop.now());
    } else {
      job.waitForDependencies();
      updateReadiness(job);
    }
    updatePriorities();
    if (job.isComplete()) {
      completedJobs.add(job);
    }
    onChange.run();
  }

  /** Which open jobs depend on which others. */
  DependencyGraph dependencies() {
    return dependencies;
  }

  /** How a job ended that others may depend on: some of them may be ready by that. */
  void jobEnded(String id, boolean done, long atMs) {
    dependencies.jobEnded(id, done, atMs);
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
      job.dependenciesDone(dependencies.readyAtMs(job.id()));
      arrivals.recordJob(job.spec(), job.version() > termVersion, loop.now());
      onChange.run();
    }
  }

  private void updatePriorities() {
    dependencies
        .updatedPriorities()
        .forEach(
            (id, priority) -> {
              Job job = jobs.get(id);
              if (job != null && job.spec().priority() != priority) {
                job.reprioritize(priority);
                onChange.run();
              }
            });
  }

  /** The job is over; null when it was not open. */
  @Nullable Job remove(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return null;
    }
    dependencies.remove(id);
    updatePriorities();
    unsavedJobs.remove(job);
    completedJobs.remove(job);
    awaitingLaunchWatermark.remove(job);
    return job;
  }

  /**
   * Marks finished tasks as known to the state service; their attempts need not be kept any more.
   */
  void finishedTasksSaved(Job job, BitSet tasks) {
    job.finishedTasksSaved(tasks);
    if (!job.hasUnsavedTasks()) {
      unsavedJobs.remove(job);
    }
  }

  /** Jobs with finished tasks that the state service does not know of yet; a live view. */
  Set<Job> unsavedJobs() {
    return unsavedJobs;
  }

  /** Jobs with placed tasks that are launched once a higher launch watermark is written. */
  Set<Job> awaitingLaunchWatermark() {
    return awaitingLaunchWatermark;
  }

  /** The state service knows that tasks of the job up to this one may have been launched. */
  void launchWatermarkSaved(Job job, int watermark) {
    if (job.launchWatermarkSaved(watermark)) {
      awaitingLaunchWatermark.remove(job);
    }
  }

  /** Open jobs whose tasks are all finished. */
  Set<Job> completedJobs() {
    return completedJobs;
  }
}
