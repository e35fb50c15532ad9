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
 * Persists the launch watermark of each open job: only tasks below it may have been launched. A
 * task is launched only after the state service has confirmed a watermark above its index, so that
 * the next leader knows which tasks cannot be on machines that it does not find. A watermark is
 * first written for the first tasks of a job; each further write at least doubles it, up to the
 * number of tasks.
 */
final class LaunchWatermarkStore {
  private static final Logger LOG = LoggerFactory.getLogger(LaunchWatermarkStore.class);

  /**
   * The maximum number of writes per heartbeat interval. Launches wait for these writes, but each
   * of them counts against the request budget of all controllers.
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
   * @param dueWork run after a successful write, since placed tasks may now be launched
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

  /** Loads what earlier terms have stored; returns the launch watermark of each job, by job id. */
  Map<String, Integer> load(Listing stored) {
    Map<String, Integer> watermarks = new HashMap<>();
    records.load(
        stored.entries(),
        (job, value) -> watermarks.merge(job, parseWatermark(job, value), Math::max));
    return watermarks;
  }

  /**
   * Parses a stored watermark. If it is unreadable, every task may have been launched, so the
   * maximum is returned.
   */
  private static int parseWatermark(String job, JsonNode stored) {
    try {
      return LaunchWatermarkEntry.parse(stored).watermark();
    } catch (InvalidFieldException e) {
      LOG.error("Launch watermark is unreadable: job={} reason={}", job, e.getMessage());
      return JobSpec.MAX_TASKS;
    }
  }

  /** Removes the entries of jobs that are no longer open. */
  void retainOpenJobs() {
    for (String job : new ArrayList<>(records.entryNames())) {
      if (cluster.job(job) == null) {
        records.remove(job);
      }
    }
  }

  /** Removes the entry of a job that has ended. */
  void remove(String job) {
    records.remove(job);
  }

  /**
   * Writes the watermarks that placed tasks wait for, unless a write is in flight or the last one
   * was too recent.
   */
  void save() {
    double now = loop.now();
    if (writeInFlight || now < nextWriteAt || cluster.jobsAwaitingLaunchWatermark().isEmpty()) {
      return;
    }
    Map<Job, Integer> watermarks = new LinkedHashMap<>();
    for (Job job : cluster.jobsAwaitingLaunchWatermark()) {
      int watermark = job.requestedLaunchWatermark();
      watermarks.put(job, watermark);
      records.put(job.spec().id(), new LaunchWatermarkEntry(watermark).toJson());
    }
    Transaction transaction = transactions.begin();
    PagedRecords.Batch batch = transactions.addChangedPages(transaction, records);
    if (batch.isEmpty()) {
      return;
    }
    watermarks.keySet().removeIf(job -> !batch.contains(job.spec().id()));
    writeInFlight = true;
    nextWriteAt = now + minWriteIntervalS;
    transactions.commitPages(transaction, batch, written -> writeCompleted(watermarks, written));
  }

  private void writeCompleted(Map<Job, Integer> watermarks, boolean written) {
    writeInFlight = false;
    if (written) {
      watermarks.forEach(cluster::launchWatermarkSaved);
      dueWork.run();
    } else {
      nextWriteAt = loop.now() + retryDelayS;
    }
  }
}
