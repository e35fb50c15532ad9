package org.saffronshore.peer;

import java.util.Map;

/** The progress of jobs as the leader last sent it, for the users that poll other controllers. */
public final class JobProgressCache {
  private long term;
  private Map<String, JobProgress> jobs = Map.of();

  /** Records what a message of a leader holds, unless one of a later term arrived before. */
  void update(PeerMessage message) {
    if (message.jobProgress() != null && message.term() >= term) {
      term = message.term();
      jobs = message.jobProgress();
    }
  }

  /** The progress of a job; nothing where none was sent. */
  public JobProgress progress(String job) {
    return jobs.getOrDefault(job, JobProgress.NONE);
  }
}
