package org.saffronshore.failover;

import java.util.List;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;

/**
 * Applies cancellations that this controller or a peer has learned of to the cluster of one term,
 * and lets the leader renew leases for as long as {@link CancellationHorizon} allows.
 */
final class CancellationTracker {
  private final EventLoop loop;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final JobRemoval jobRemoval;
  private final Runnable dueWork;
  private final CancellationHorizon horizon;

  /**
   * Creates the tracker of one term.
   *
   * @param dueWork run after a job is cancelled, to stop its tasks
   */
  CancellationTracker(
      EventLoop loop,
      Settings settings,
      LeaderTerm term,
      Cluster cluster,
      JobRemoval jobRemoval,
      Runnable dueWork) {
    this.loop = loop;
    this.term = term;
    this.cluster = cluster;
    this.jobRemoval = jobRemoval;
    this.dueWork = dueWork;
    this.horizon = new CancellationHorizon(settings);
  }

  /**
   * Records that the open jobs were read from the state service.
   *
   * @param requestedAt when the request was sent, in seconds on the event loop's clock
   */
  void recordRead(double requestedAt) {
    horizon.recordRead(requestedAt);
    term.allowRenewalsUntil(horizon.renewalsAllowedUntil());
  }

  /** See {@link Failover#cancellationsReadAt}. */
  double readAt() {
    return horizon.readAt();
  }

  /** See {@link Failover#peerReportedCancellations}. */
  void peerReportedCancellations(
      String peer, double requestedAt, double completeSince, List<String> jobs) {
    if (!term.hasLoadedRecords()) {
      return;
    }
    jobs.forEach(this::jobCancelled);
    horizon.recordPeerReport(peer, requestedAt, completeSince);
    term.allowRenewalsUntil(horizon.renewalsAllowedUntil());
  }

  /** See {@link Failover#jobCancelled}. */
  void jobCancelled(String job) {
    if (!term.hasLoadedRecords()) {
      return;
    }
    cluster.jobEnded(job, false, loop.wallClockMs());
    if (cluster.job(job) != null) {
      jobRemoval.remove(job);
      dueWork.run();
    }
  }
}
