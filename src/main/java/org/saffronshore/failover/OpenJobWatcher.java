package org.saffronshore.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.JobRecord;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.StoredEntry;
import org.saffronshore.state.WatchResult;
import org.saffronshore.wire.InvalidFieldException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the cluster of one term consistent with the open jobs in the state service. */
final class OpenJobWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(OpenJobWatcher.class);

  private final EventLoop loop;
  private final StateClient state;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final JobRemoval jobRemoval;
  private final CancellationTracker cancellations;
  private final Runnable dueWork;
  private final double maxWatchWaitS;
  private final double retryDelayS;

  /**
   * Creates the watcher of one term.
   *
   * @param dueWork run after jobs were added or removed
   */
  OpenJobWatcher(
      EventLoop loop,
      Settings settings,
      StateClient state,
      LeaderTerm term,
      Cluster cluster,
      JobRemoval jobRemoval,
      CancellationTracker cancellations,
      Runnable dueWork) {
    this.loop = loop;
    this.state = state;
    this.term = term;
    this.cluster = cluster;
    this.jobRemoval = jobRemoval;
    this.cancellations = cancellations;
    this.dueWork = dueWork;
    this.maxWatchWaitS = settings.cancellationDeadlineS() / 20;
    this.retryDelayS = settings.heartbeatIntervalS() / 10;
  }

  /**
   * Adds the jobs that were open when the term began.
   *
   * @param finishedTasks the stored finished tasks, by job id
   * @param launchWatermarks the stored launch watermarks, by job id
   */
  void load(
      Listing openJobs, Map<String, BitSet> finishedTasks, Map<String, Integer> launchWatermarks) {
    for (StoredEntry entry : openJobs.entries()) {
      String id = Keys.idOf(entry.key());
      addJob(
          entry.key(),
          entry.value(),
          entry.version(),
          finishedTasks.getOrDefault(id, new BitSet()),
          launchWatermarks.getOrDefault(id, 0));
    }
  }

  /** Adds a job accepted after the term began; no other leader can have launched its tasks. */
  private void addNewJob(String key, JsonNode value, long version) {
    addJob(key, value, version, new BitSet(), 0);
  }

  private void addJob(
      String key, JsonNode value, long version, BitSet finishedTasks, int launchWatermark) {
    try {
      JobRecord job = JobRecord.parse(value);
      cluster.addJob(job.spec(), version, job.submittedMs(), finishedTasks, launchWatermark);
    } catch (InvalidFieldException e) {
      LOG.error("Open job is unreadable: key={} reason={}", key, e.getMessage());
    }
  }

  /**
   * Watches the open jobs for changes after a revision, for as long as the term lasts. Every
   * controller can cancel jobs, and the leader learns of cancellations from this watch, so it must
   * not lag behind for long.
   */
  void watch(long revision) {
    if (term.hasEnded()) {
      return;
    }
    double requestedAt = loop.now();
    state.watch(
        Keys.OPEN_JOBS,
        revision,
        maxWatchWaitS,
        result -> {
          if (term.hasEnded()) {
            return;
          }
          if (result.isReceived()) {
            apply(result.events());
            cancellations.recordRead(requestedAt);
            watch(result.revision());
          } else if (result.outcome() == WatchResult.Outcome.COMPACTED) {
            relist();
          } else {
            loop.schedule(retryDelayS, () -> watch(revision));
          }
        });
  }

  private void apply(List<WatchResult.Event> events) {
    for (WatchResult.Event event : events) {
      if (event.value() != null) {
        addNewJob(event.key(), event.value(), event.version());
      } else {
        jobRemoval.remove(Keys.idOf(event.key()));
      }
    }
    if (!events.isEmpty()) {
      dueWork.run();
    }
  }

  private void relist() {
    double requestedAt = loop.now();
    state.list(
        Keys.OPEN_JOBS,
        RequestPriority.VITAL,
        listing -> {
          if (term.hasEnded()) {
            return;
          }
          if (listing.isEmpty()) {
            loop.schedule(retryDelayS, this::relist);
            return;
          }
          Listing openJobs = listing.get();
          syncWithListing(openJobs.entries());
          cancellations.recordRead(requestedAt);
          watch(openJobs.revision());
          dueWork.run();
        });
  }

  private void syncWithListing(List<StoredEntry> openJobs) {
    Set<String> ids = new HashSet<>();
    for (StoredEntry entry : openJobs) {
      ids.add(Keys.idOf(entry.key()));
      addNewJob(entry.key(), entry.value(), entry.version());
    }
    for (Job job : new ArrayList<>(cluster.jobs())) {
      if (!ids.contains(job.spec().id())) {
        jobRemoval.remove(job.spec().id());
      }
    }
  }
}
