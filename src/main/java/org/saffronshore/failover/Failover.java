package org.saffronshore.failover;

import java.util.List;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.StateClient;

/**
 * How one term takes over from the earlier ones and prepares for the next: it recovers the stored
 * state, follows the open jobs, and persists what the next leader has to know.
 */
public final class Failover {
  private final LeaderTerm term;
  private final FinishedTasksStore finishedTasks;
  private final LaunchWatermarkStore launchWatermarks;
  private final MachineRegistryStore machineRegistry;
  private final JobOutcomeWriter outcomes;
  private final CancellationTracker cancellations;
  private final DependencyResolver dependencies;
  private final TermRecovery recovery;

  /**
   * Creates the parts for one term; nothing is read or written before {@link #start}.
   *
   * @param dueWork is run after a change that may have made commands, records or a scheduling cycle
   *     due
   * @param onRecovered is run once, when the stored state has been recovered
   */
  public Failover(
      EventLoop loop,
      Settings settings,
      StateClient state,
      JobStore store,
      LeaderTerm term,
      Cluster cluster,
      Runnable dueWork,
      Runnable onRecovered) {
    this.term = term;
    TermTransactions transactions = new TermTransactions(state, settings, term);
    this.finishedTasks = new FinishedTasksStore(transactions, settings, cluster);
    this.launchWatermarks =
        new LaunchWatermarkStore(loop, settings, transactions, cluster, dueWork);
    this.machineRegistry = new MachineRegistryStore(loop, settings, transactions, cluster, dueWork);
    JobRemoval jobRemoval = new JobRemoval(cluster, launchWatermarks, finishedTasks);
    this.outcomes =
        new JobOutcomeWriter(loop, settings, transactions, store, cluster, jobRemoval, dueWork);
    this.cancellations =
        new CancellationTracker(loop, settings, term, cluster, jobRemoval, dueWork);
    this.dependencies =
        new DependencyResolver(loop, term, store, cluster, outcomes, cancellations, dueWork);
    OpenJobWatcher openJobs =
        new OpenJobWatcher(
            loop, settings, state, term, cluster, jobRemoval, cancellations, dueWork);
    this.recovery =
        new TermRecovery(
            loop,
            settings,
            state,
            term,
            cluster,
            cancellations,
            new TermRecovery.Stores(openJobs, finishedTasks, launchWatermarks, machineRegistry),
            onRecovered);
  }

  /** Starts to recover the stored state, and follows the open jobs from then on. */
  public void start() {
    recovery.start();
  }

  /** Writes everything that has to be persisted before something else may happen. */
  public void saveDueRecords() {
    launchWatermarks.save();
    machineRegistry.save();
    outcomes.saveCompletedJobs();
  }

  /** Writes the launch watermarks that placed tasks wait for. */
  public void saveLaunchWatermarks() {
    launchWatermarks.save();
  }

  /** Writes which tasks have finished; to be called periodically. */
  public void saveFinishedTasks() {
    if (term.isLoaded()) {
      finishedTasks.save();
    }
  }

  /** Reads and writes outcomes that dependencies call for; to be called periodically. */
  public void resolveDependencies() {
    dependencies.resolve();
  }

  /**
   * The state service has the job as cancelled, as this controller or a peer has read or written.
   */
  public void jobCancelled(String job) {
    cancellations.jobCancelled(job);
  }

  /**
   * A peer has reported every cancellation that it learned of since a moment.
   *
   * @param requestedAt when the request to the peer was sent
   * @param completeSince since when none is missing
   * @param jobs the cancelled jobs
   */
  public void peerReportedCancellations(
      String peer, double requestedAt, double completeSince, List<String> jobs) {
    cancellations.peerReportedCancellations(peer, requestedAt, completeSince, jobs);
  }

  /** As of when all cancellations in the state service are known; negative infinity at first. */
  public double cancellationsReadAt() {
    return cancellations.readAt();
  }
}
