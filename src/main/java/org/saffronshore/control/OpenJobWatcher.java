package org.saffronshore.control;

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

/** Keeps one term's cluster in line with the open jobs of the state service. */
final class OpenJobWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(OpenJobWatcher.class);

  private final EventLoop loop;
  private final Settings settings;
  private final StateClient state;
  private final Leader leader;
  private final Cluster cluster;

  OpenJobWatcher(Controller node, Leader leader, Cluster cluster) {
    this.loop = node.loop();
    this.settings = node.settings();
    this.state = node.state();
    this.leader = leader;
    this.cluster = cluster;
  }

  /** Takes the jobs that were open when the term began, and follows what becomes of them. */
  void begin(Listing jobs, Map<String, BitSet> done, Map<String, Integer> launchMark) {
    for (StoredEntry e : jobs.entries()) {
      String id = Keys.idOf(e.key());
      add(
          e.key(),
          e.value(),
          e.version(),
          done.getOrDefault(id, new BitSet()),
          launchMark.getOrDefault(id, 0));
    }
  }

  /** A job that was accepted after the term began: nobody else can have launched any of it. */
  private void addNew(String key, JsonNode record, long version) {
    add(key, record, version, new BitSet(), 0);
  }

  private void add(String key, JsonNode record, long version, BitSet done, int launchMark) {
    try {
      JobRecord job = JobRecord.parse(record);
      cluster.addJob(job.spec(), version, job.submittedMs(), done, launchMark);
    } catch (InvalidFieldException e) {
      LOG.error("the record {} cannot be read: {}", key, e.getMessage());
    }
  }

  /**
   * Cancellations are decided by other nodes and become known here: so this must never lag for
   * long.
   */
  void watch(long from) {
    if (leader.term().hasEnded()) {
      return;
    }
    double askedAt = loop.now();
    state.watch(
        Keys.OPEN_JOBS,
        from,
        settings.cancellationDeadlineS() / 20,
        answer -> {
          if (leader.term().hasEnded()) {
            return;
          }
          if (answer.isReceived()) {
            apply(answer.events());
            leader.cancellationsRead(askedAt);
            watch(answer.revision());
          } else if (answer.outcome() == WatchResult.Outcome.COMPACTED) {
            relist();
          } else {
            loop.schedule(settings.heartbeatIntervalS() / 10, () -> watch(from));
          }
        });
  }

  private void apply(List<WatchResult.Event> changes) {
    for (WatchResult.Event change : changes) {
      if (change.value() != null) {
        addNew(change.key(), change.value(), change.version());
      } else {
        leader.removeJob(Keys.idOf(change.key()));
      }
    }
    if (!changes.isEmpty()) {
      leader.runDueWork();
    }
  }

  private void relist() {
    double askedAt = loop.now();
    state.list(
        Keys.OPEN_JOBS,
        RequestPriority.VITAL,
        listing -> {
          if (leader.term().hasEnded()) {
            return;
          }
          if (listing.isEmpty()) {
            loop.schedule(settings.heartbeatIntervalS() / 10, this::relist);
            return;
          }
          Listing jobs = listing.get();
          Set<String> open = new HashSet<>();
          for (StoredEntry e : jobs.entries()) {
            open.add(Keys.idOf(e.key()));
            addNew(e.key(), e.value(), e.version());
          }
          for (Job job : new ArrayList<>(cluster.jobs())) {
            if (!open.contains(job.spec().id())) {
              leader.removeJob(job.spec().id());
            }
          }
          leader.cancellationsRead(askedAt);
          watch(jobs.revision());
          leader.runDueWork();
        });
  }
}
