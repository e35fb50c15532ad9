package org.saffronshore.failover;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads everything that earlier terms have stored, at the beginning of a term, and passes it to the
 * stores that own the records.
 */
final class TermRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(TermRecovery.class);

  private static final List<String> PREFIXES =
      List.of(
          Keys.FINISHED_TASKS,
          Keys.FINISHED_TASKS_SHORT_CHUNKS,
          Keys.MACHINE_REGISTRY,
          Keys.LAUNCH_WATERMARKS,
          Keys.OPEN_JOBS);

  /** The stores that load the recovered records. */
  record Stores(
      OpenJobWatcher openJobs,
      FinishedTasksStore finishedTasks,
      LaunchWatermarkStore launchWatermarks,
      MachineRegistryStore machineRegistry) {}

  private final EventLoop loop;
  private final StateClient state;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final CancellationTracker cancellations;
  private final Stores stores;
  private final Runnable onRecovered;
  private final double retryDelayS;

  /**
   * Creates the recovery of one term.
   *
   * @param onRecovered run once, when everything has been read and loaded
   */
  TermRecovery(
      EventLoop loop,
      Settings settings,
      StateClient state,
      LeaderTerm term,
      Cluster cluster,
      CancellationTracker cancellations,
      Stores stores,
      Runnable onRecovered) {
    this.loop = loop;
    this.state = state;
    this.term = term;
    this.cluster = cluster;
    this.cancellations = cancellations;
    this.stores = stores;
    this.onRecovered = onRecovered;
    this.retryDelayS = settings.heartbeatIntervalS() / 10;
  }

  /** Reads the stored state; retries until it has been read or the term has ended. */
  void start() {
    double requestedAt = loop.now();
    state.listAll(
        PREFIXES,
        listings -> {
          if (term.hasEnded()) {
            return;
          }
          if (listings.isEmpty()) {
            loop.schedule(retryDelayS, this::start);
            return;
          }
          recover(listings.get(), requestedAt);
        });
  }

  private void recover(Map<String, Listing> listings, double requestedAt) {
    Listing openJobs = listing(listings, Keys.OPEN_JOBS);
    Map<String, BitSet> finishedTasks =
        stores.finishedTasks.load(
            listing(listings, Keys.FINISHED_TASKS),
            listing(listings, Keys.FINISHED_TASKS_SHORT_CHUNKS));
    stores.openJobs.load(
        openJobs,
        finishedTasks,
        stores.launchWatermarks.load(listing(listings, Keys.LAUNCH_WATERMARKS)));
    stores.machineRegistry.load(listing(listings, Keys.MACHINE_REGISTRY));
    stores.launchWatermarks.retainOpenJobs();
    stores.finishedTasks.retainOpenJobs();
    term.markRecordsLoaded();
    cancellations.recordRead(requestedAt);
    logRecovered(listings, requestedAt);
    stores.openJobs.watch(openJobs.revision());
    onRecovered.run();
  }

  private static Listing listing(Map<String, Listing> listings, String prefix) {
    return Objects.requireNonNull(listings.get(prefix), prefix);
  }

  private void logRecovered(Map<String, Listing> listings, double requestedAt) {
    LOG.info(
        "Stored state recovered: term={} open_jobs={} unreconciled_machines={}",
        term.number(),
        listing(listings, Keys.OPEN_JOBS).entries().size(),
        cluster.unreconciledCount());
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "Stored state read: term={} duration_s={} leader_key_version={} revisions={}",
          term.number(),
          loop.now() - requestedAt,
          term.leaderKeyVersion(),
          revisions(listings));
    }
  }

  /** Returns the revision at which each prefix was read, sorted by prefix. */
  private static Map<String, Long> revisions(Map<String, Listing> listings) {
    Map<String, Long> revisions = new TreeMap<>();
    listings.forEach((prefix, listing) -> revisions.put(prefix, listing.revision()));
    return revisions;
  }
}
