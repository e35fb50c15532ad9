package org.saffronshore.failover;

import java.util.List;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.StateClient;

/**
 * Takes over from earlier terms and prepares for the next one: recovers the stored state, follows
 * the open jobs, and persists what the next leader has to know. There is one instance per term.
 */
public final class Failover {
  private final LeaderTerm term;
  private final FinishedTasksStore finishedTasks;
  private final LaunchWatermarkStore launchWatermarks;
  private final FencingTokenStore fencingTokens;
  private final MachineRegistryStore machineRegistry;
  private final JobOutcomeWriter outcomes;
  private final CancellationTracker cancellations;
  private final DependencyResolver dependencies;
  private final TermRecovery recovery;

  /**
   * Creates the components for one term. Nothing is read or written before {@link #start}.
   *
   * @param dueWork run after a change that may have made commands, records or a scheduling cycle
   *     due
   * @param onRecovered run once, when the stored state has been recovered
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
    this.fencingTokens = new FencingTokenStore(loop, settings, state, transactions, term);
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

  /** Starts recovering the stored state; follows the open jobs once it has been recovered. */
  public void start() {
    recovery.start();
  }

  /**
   * Writes the records that other actions wait for: launch watermarks, the machine registry, the
   * outcomes of completed jobs and reservations of fencing tokens.
   */
  public void saveDueRecords() {
    launchWatermarks.save();
    machineRegistry.save();
    outcomes.saveCompletedJobs();
    fencingTokens.save();
  }

  /** Writes the launch watermarks that must be persisted before placed tasks are launched. */
  public void saveLaunchWatermarks() {
    launchWatermarks.save();
  }

  /** Writes the finished tasks of open jobs; must be called periodically. */
  public void saveFinishedTasks() {
    if (term.hasLoadedRecords()) {
      finishedTasks.save();
    }
  }

  /**
   * Reads outcomes of dependencies, and writes outcomes of jobs cancelled by dependency; must be
   * called periodically.
   */
  public void resolveDependencies() {
    dependencies.resolve();
  }

  /**
   * Handles the cancellation of a job, which this controller or a peer has read from or written to
   * the state service.
   */
  public void jobCancelled(String job) {
    cancellations.jobCancelled(job);
  }

  /**
   * Handles a peer's report of all cancellations that the peer learned of since {@code
   * completeSince}.
   *
   * @param peer the peer's node name
   * @param requestedAt when the request to the peer was sent, in seconds on the event loop's clock
   * @param completeSince the time since which no cancellation is missing in the report, in seconds
   *     on the event loop's clock
   * @param jobs the ids of the cancelled jobs
   */
  public void peerReportedCancellations(
      String peer, double requestedAt, double completeSince, List<String> jobs) {
    cancellations.peerReportedCancellations(peer, requestedAt, completeSince, jobs);
  }

  /**
   * Returns when the latest successful read of the open jobs was requested, in seconds on the event
   * loop's clock: all cancellations that the state service had by then are known. Negative infinity
   * before the first read.
   */
  public double cancellationsReadAt() {
    return cancellations.readAt();
  }
}
