package org.saffronshore.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LaunchWatermarkEntry;
import org.saffronshore.state.Listing;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Persists how far the tasks of each open job may have been launched. A task is launched only once
 * the state service has the watermark, so that a next leader that cannot find some machines still
 * knows which tasks cannot be there. A watermark is written with the first tasks of a job, and then
 * for twice as many each time.
 */
final class LaunchWatermarkStore {
  private static final Logger LOG = LoggerFactory.getLogger(LaunchWatermarkStore.class);

  /**
   * The most writes in a heartbeat interval: launches wait for them, and each spends the budget of
   * all controllers.
   */
  private static final double MAX_WRITES_PER_HEARTBEAT_INTERVAL = 40;

  private final EventLoop loop;
  private final TermTransactions transactions;
  private final Cluster cluster;
  private final Runnable dueWork;
  private final PagedRecords records;
  private final double minWriteIntervalS;
  private final double retryDelayS;
  private boolean writeInFlight;
  private double nextWriteAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates the store of one term.
   *
   * @param dueWork is run after a write: tasks may be launched
   */
  LaunchWatermarkStore(
      EventLoop loop,
      Settings settings,
      TermTransactions transactions,
      Cluster cluster,
      Runnable dueWork) {
    this.loop = loop;
    this.transactions = transactions;
    this.cluster = cluster;
    this.dueWork = dueWork;
    this.records = new PagedRecords(Keys.LAUNCH_WATERMARKS, PageLimits.of(settings));
    this.minWriteIntervalS = settings.heartbeatIntervalS() / MAX_WRITES_PER_HEARTBEAT_INTERVAL;
    this.retryDelayS = settings.heartbeatIntervalS() / 10;
  }

  /** The watermark of each job, as earlier terms have stored it. */
  Map<String, Integer> load(Listing stored) {
    Map<String, Integer> watermarks = new HashMap<>();
    records.load(
        stored.entries(),
        (job, value) -> watermarks.merge(job, parseWatermark(job, value), Math::max));
    return watermarks;
  }

  /** One that cannot be read proves nothing: every task may have been launched. */
  private static int parseWatermark(String job, JsonNode stored) {
    try {
      return LaunchWatermarkEntry.parse(stored).watermark();
    } catch (InvalidFieldException e) {
      LOG.error("Launch watermark is unreadable: job={} reason={}", job, e.getMessage());
      return JobSpec.MAX_TASKS;
    }
  }

  /** Drops the entries of jobs that are not open any more. */
  void retainOpenJobs() {
    for (String job : new ArrayList<>(records.entryNames())) {
      if (cluster.job(job) == null) {
        records.remove(job);
      }
    }
  }

  /** Drops the entry of a job that has ended. */
  void remove(String job) {
    records.remove(job);
  }

  /** Writes the watermarks that placed tasks wait for, unless a write is in flight. */
  void save() {
    double now = loop.now();
    if (writeInFlight || now < nextWriteAt || cluster.jobsAwaitingLaunchWatermark().isEmpty()) {
      return;
    }
    Map<Job, Integer> saving = new LinkedHashMap<>();
    for (Job job : cluster.jobsAwaitingLaunchWatermark()) {
      int watermark = job.requestedLaunchWatermark();
      saving.put(job, watermark);
      records.put(job.spec().id(), new LaunchWatermarkEntry(watermark).toJson());
    }
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = transactions.addChangedPages(transaction, records);
    if (batch.isEmpty()) {
      return;
    }
    saving.keySet().removeIf(job -> !batch.contains(job.spec().id()));
    writeInFlight = true;
    nextWriteAt = now + minWriteIntervalS;
    transactions.commitPages(transaction, batch, written -> writeCompleted(saving, written));
  }

  private void writeCompleted(Map<Job, Integer> saving, boolean written) {
    writeInFlight = false;
    if (written) {
      saving.forEach(cluster::launchWatermarkSaved);
      dueWork.run();
    } else {
      nextWriteAt = loop.now() + retryDelayS;
    }
  }
}
