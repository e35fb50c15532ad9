package org.saffronshore.control;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Job;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.JobOutcome;
import org.saffronshore.state.JobStatus;
import org.saffronshore.state.JobStore;

/**
 * Works out the difference between what one term knows of jobs that others need, and what the state
 * service knows: how they ended is asked, and jobs that are cancelled with one that they need get
 * their own ends. Neither is urgent: what is not known to be done keeps others waiting, and users
 * are told of cancellations without it.
 */
final class DependencyResolver {
  /** So many writes are under way at the same time. */
  private static final int MAX_WRITES = 8;

  private final EventLoop loop;
  private final JobStore store;
  private final Leader leader;
  private final Cluster cluster;
  private final TermStore termStore;
  private boolean reading;
  private final Set<String> writing = new HashSet<>();

  DependencyResolver(Controller node, Leader leader, Cluster cluster, TermStore termStore) {
    this.loop = node.loop();
    this.store = node.store();
    this.leader = leader;
    this.cluster = cluster;
    this.termStore = termStore;
  }

  void resolve() {
    List<String> unknown = cluster.dependencies().unresolved();
    if (!reading && !unknown.isEmpty()) {
      reading = true;
      store.readOutcomes(unknown, this::read);
    }
    for (String id : cluster.dependencies().cancelledJobs()) {
      Job job = cluster.job(id);
      if (writing.size() >= MAX_WRITES) {
        break;
      }
      if (job != null && writing.add(id)) {
        termStore.saveCancelled(job, () -> writing.remove(id));
      }
    }
  }

  private void read(Map<String, JobOutcome> ends) {
    reading = false;
    if (leader.term().hasEnded()) {
      return;
    }
    boolean news = false;
    for (Map.Entry<String, JobOutcome> read : ends.entrySet()) {
      JobOutcome end = read.getValue();
      if (end.status() == JobStatus.DONE) {
        // An end that an earlier version wrote says nothing of its time.
        cluster.jobEnded(read.getKey(), true, end.atMs() > 0 ? end.atMs() : loop.wallClockMs());
        news = true;
      } else if (end.status() == JobStatus.CANCELLED) {
        leader.jobCancelled(read.getKey());
        news = true;
      }
    }
    // What could not be read is asked again with the next round.
    if (news) {
      leader.runDueWork();
      resolve();
    }
  }
}
