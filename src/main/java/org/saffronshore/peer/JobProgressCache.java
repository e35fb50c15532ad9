package org.saffronshore.peer;

import java.util.Map;

/**
 * Caches the progress of jobs that the leader last sent, so that a controller which does not lead
 * can respond to polls.
 */
public final class JobProgressCache {
  private long term;
  private Map<String, JobProgress> jobs = Map.of();

  /**
   * Replaces the cached progress with that in a leader's message. A message without progress is
   * ignored, and so is one of an earlier term than the cached progress.
   */
  void update(PeerMessage message) {
    if (message.jobProgress() != null && message.term() >= term) {
      term = message.term();
      jobs = message.jobProgress();
    }
  }

  /** Returns the progress of a job, or {@link JobProgress#NONE} if the leader sent none. */
  public JobProgress progress(String job) {
    return jobs.getOrDefault(job, JobProgress.NONE);
  }
}
