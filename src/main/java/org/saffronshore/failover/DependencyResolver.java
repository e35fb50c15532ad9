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
 * Reconciles what one term knows of the jobs that others depend on with the state service: their
 * outcomes are read, and the outcomes of jobs that are cancelled by dependency are written. Neither
 * is urgent: a dependency that is not known to be done keeps jobs waiting, and users are told of
 * cancellations without it.
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
   * @param dueWork is run after outcomes were read: jobs may be ready
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

  /** Starts the reads and writes that are due. */
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
    // What could not be read is read again with the next round.
    if (changed) {
      dueWork.run();
      resolve();
    }
  }

  /** Whether the job has an outcome. */
  private boolean apply(String job, JobOutcome outcome) {
    return switch (outcome.status()) {
      case DONE -> {
        // An outcome that an earlier version wrote does not hold its time.
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
