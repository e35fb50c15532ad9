package org.saffronshore.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.JobOutcome;
import org.saffronshore.state.JobStore;

/**
 * Synchronizes the outcomes of jobs in the dependency graph of one term with the state service: it
 * reads the outcomes of dependencies that are not known yet, and writes the outcomes of jobs that
 * are cancelled because a dependency was cancelled. Neither is urgent: jobs wait until their
 * dependencies are known to be done, and users see such a cancellation before it is written.
 */
final class DependencyResolver {
  private static final int MAX_WRITES_IN_FLIGHT = 8;

  private final EventLoop loop;
  private final LeaderTerm term;
  private final JobStore store;
  private final Cluster cluster;
  private final JobOutcomeWriter outcomes;
  private final CancellationTracker cancellations;
  private final Runnable dueWork;
  private boolean readInFlight;
  private final Set<String> writesInFlight = new HashSet<>();

  /**
   * Creates the resolver of one term.
   *
   * @param dueWork run after outcomes were read, since jobs may have become ready
   */
  DependencyResolver(
      EventLoop loop,
      LeaderTerm term,
      JobStore store,
      Cluster cluster,
      JobOutcomeWriter outcomes,
      CancellationTracker cancellations,
      Runnable dueWork) {
    this.loop = loop;
    this.term = term;
    this.store = store;
    this.cluster = cluster;
    this.outcomes = outcomes;
    this.cancellations = cancellations;
    this.dueWork = dueWork;
  }

  /** Starts the reads and writes that are due, up to the limits of requests in flight. */
  void resolve() {
    List<String> unresolved = cluster.dependencies().jobsWithUnknownOutcome();
    if (!readInFlight && !unresolved.isEmpty()) {
      readInFlight = true;
      store.readOutcomes(unresolved, this::outcomesRead);
    }
    for (String id : cluster.dependencies().jobsToCancel()) {
      Job job = cluster.job(id);
      if (writesInFlight.size() >= MAX_WRITES_IN_FLIGHT) {
        break;
      }
      if (job != null && writesInFlight.add(id)) {
        outcomes.saveCancelled(job, () -> writesInFlight.remove(id));
      }
    }
  }

  private void outcomesRead(Map<String, JobOutcome> read) {
    readInFlight = false;
    if (term.hasEnded()) {
      return;
    }
    boolean changed = false;
    for (Map.Entry<String, JobOutcome> entry : read.entrySet()) {
      changed |= apply(entry.getKey(), entry.getValue());
    }
    // Outcomes that could not be read are requested again by the next call of resolve().
    if (changed) {
      dueWork.run();
      resolve();
    }
  }

  /** Applies the outcome of a job to the cluster; returns whether the job has ended. */
  private boolean apply(String job, JobOutcome outcome) {
    return switch (outcome.status()) {
      case DONE -> {
        // Outcomes written by earlier versions do not contain the end time.
        cluster.jobEnded(job, true, outcome.atMs() > 0 ? outcome.atMs() : loop.wallClockMs());
        yield true;
      }
      case CANCELLED -> {
        cancellations.jobCancelled(job);
        yield true;
      }
      case UNKNOWN, NOT_FOUND, OPEN -> false;
    };
  }
}
