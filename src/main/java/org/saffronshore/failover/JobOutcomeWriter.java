package org.saffronshore.failover;

import java.util.ArrayList;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.JobOutcome;
import org.saffronshore.state.JobStatus;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the outcomes that the leader decides: jobs that are done, and jobs that are cancelled
 * because a dependency was cancelled.
 */
final class JobOutcomeWriter {
  private static final Logger LOG = LoggerFactory.getLogger(JobOutcomeWriter.class);

  private final EventLoop loop;
  private final TermTransactions transactions;
  private final JobStore store;
  private final Cluster cluster;
  private final JobRemoval jobRemoval;
  private final Runnable dueWork;
  private final double retryDelayS;
  private double retryAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates the writer of one term.
   *
   * @param dueWork run after a job is done, since jobs that depend on it may have become ready
   */
  JobOutcomeWriter(
      EventLoop loop,
      Settings settings,
      TermTransactions transactions,
      JobStore store,
      Cluster cluster,
      JobRemoval jobRemoval,
      Runnable dueWork) {
    this.loop = loop;
    this.transactions = transactions;
    this.store = store;
    this.cluster = cluster;
    this.jobRemoval = jobRemoval;
    this.dueWork = dueWork;
    this.retryDelayS = settings.heartbeatIntervalS() / 6;
  }

  /** Commits the outcome of completed jobs. Users see a job as done only after the commit. */
  void saveCompletedJobs() {
    if (cluster.completedJobs().isEmpty() || loop.now() < retryAt) {
      return;
    }
    for (Job job : new ArrayList<>(cluster.completedJobs())) {
      if (!job.outcomeWriteInFlight()) {
        saveDone(job);
      }
    }
  }

  private void saveDone(Job job) {
    String id = job.spec().id();
    long endedAtMs = loop.wallClockMs();
    Transaction transaction =
        new JobOutcome(JobStatus.DONE, endedAtMs).addTo(transactions.begin(), id, job.version());
    job.outcomeWriteInFlight(true);
    transactions.commit(
        transaction,
        RequestPriority.VITAL,
        result -> {
          job.outcomeWriteInFlight(false);
          doneCommitCompleted(id, endedAtMs, result);
        });
  }

  private void doneCommitCompleted(String id, long endedAtMs, CommitResult result) {
    if (result.isCommitted()) {
      LOG.debug("Job is done: job={}", id);
      store.recordOutcome(id, JobStatus.DONE);
      cluster.jobEnded(id, true, endedAtMs);
      jobRemoval.remove(id);
      dueWork.run();
    } else {
      // Either the user cancelled the job, or an earlier write by this leader was executed; the
      // watch on the open jobs will report that. Or the state service is unavailable, and a retry
      // with every heartbeat would only add to its load.
      retryAt = loop.now() + retryDelayS;
    }
  }

  /**
   * Commits that a job is cancelled because a job that it depends on is cancelled. Users see the
   * job as cancelled even before the commit.
   *
   * @param callback run when the result is received, unless the term has ended by then
   */
  void saveCancelled(Job job, Runnable callback) {
    String id = job.spec().id();
    Transaction transaction =
        new JobOutcome(JobStatus.CANCELLED, loop.wallClockMs())
            .addTo(transactions.begin(), id, job.version());
    transactions.commit(
        transaction,
        RequestPriority.NORMAL,
        result -> {
          if (result.isCommitted()) {
            store.recordOutcome(id, JobStatus.CANCELLED);
          }
          callback.run();
        });
  }
}
