package org.saffronshore.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up the status of jobs for users. A job is cancelled if it, or any that it depends on,
 * directly or through others, has that outcome: users learn this as soon as it is so, whether or
 * not the job's own outcome was written. So for an open job all of its dependencies must be open or
 * done, at one moment, which a transaction with conditions alone proves in one request.
 */
final class JobLookup {
  /** How often the dependencies of a job are followed anew because one of them has ended. */
  private static final int MAX_TRIES = 4;

  /** Beyond so many transactions to check open jobs, a listing of all of them costs less. */
  private static final int MAX_CHECKS = 4;

  private final JobCache cache;
  private final JobReader reader;
  private final OutcomeReader outcomes;
  private final OpenJobChecker openJobs;
  private final int maxConditions;

  JobLookup(
      JobCache cache,
      JobReader reader,
      OutcomeReader outcomes,
      OpenJobChecker openJobs,
      int maxConditions) {
    this.cache = cache;
    this.reader = reader;
    this.outcomes = outcomes;
    this.openJobs = openJobs;
    this.maxConditions = maxConditions;
  }

  void lookUp(String id, Consumer<JobStatus> callback) {
    new PendingLookup(id, MAX_TRIES, callback).run();
  }

  /** One look-up, and how many tries are left of it. */
  private final class PendingLookup {
    private final String id;
    private final int triesLeft;
    private final Consumer<JobStatus> callback;

    PendingLookup(String id, int triesLeft, Consumer<JobStatus> callback) {
      this.id = id;
      this.triesLeft = triesLeft;
      this.callback = callback;
    }

    void run() {
      JobStatus outcome = cache.outcome(id);
      if (outcome != null) {
        callback.accept(outcome);
      } else if (triesLeft == 0) {
        callback.accept(JobStatus.UNKNOWN);
      } else if (cache.wasOpen(id)) {
        followDependencies();
      } else {
        reader.read(id, this::handleRead);
      }
    }

    private void handleRead(JobStatus status) {
      if (status == JobStatus.OPEN && cache.hasDependencies(id)) {
        followDependencies();
      } else {
        callback.accept(status);
      }
    }

    private void followDependencies() {
      JobCache.Closure closure = cache.closure(List.of(id));
      if (closure.cancelled()) {
        // Its own outcome is still to be written, by the leader, which learns of the other one.
        cache.putOutcome(id, JobStatus.CANCELLED);
        callback.accept(JobStatus.CANCELLED);
      } else if (!closure.unread().isEmpty()) {
        readUnread(closure.unread());
      } else if (closure.open().size() > MAX_CHECKS * maxConditions) {
        reader.listOpen(open -> handleEnded(open.map(listed -> without(closure.open(), listed))));
      } else {
        openJobs.findEnded(closure.open(), this::handleEnded);
      }
    }

    /** Each round reads one level more, so there are as many as the dependencies are deep. */
    private void readUnread(List<String> unread) {
      reader.readAll(
          unread,
          summary -> {
            if (summary == JobStatus.OPEN) {
              followDependencies();
            } else {
              callback.accept(JobStatus.UNKNOWN);
            }
          });
    }

    /** Goes on when it is known which of the jobs are not open any more; empty when it is not. */
    private void handleEnded(Optional<? extends Collection<String>> ended) {
      if (ended.isEmpty()) {
        callback.accept(JobStatus.UNKNOWN);
      } else if (ended.get().isEmpty()) {
        callback.accept(JobStatus.OPEN);
      } else {
        ended.get().forEach(cache::dropOpenJob);
        outcomes.readAll(ended.get(), read -> new PendingLookup(id, triesLeft - 1, callback).run());
      }
    }
  }

  private static List<String> without(Set<String> jobs, Set<String> removed) {
    return jobs.stream().filter(job -> !removed.contains(job)).toList();
  }
}
