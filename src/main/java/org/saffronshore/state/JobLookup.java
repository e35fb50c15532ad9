package org.saffronshore.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up the status of jobs for users. A job is cancelled if the job itself, or any of its direct
 * or transitive dependencies, has the outcome CANCELLED. Users see this as soon as that outcome is
 * committed, whether or not the job's own outcome has been written. A job may therefore be reported
 * as open only if all of its dependencies were open or done at one moment, which a transaction with
 * conditions and no writes proves in one request.
 */
final class JobLookup {
  /** The maximum number of rounds of a look-up; a new round begins when a dependency has ended. */
  private static final int MAX_TRIES = 4;

  /** The number of checking transactions above which listing all open jobs costs less. */
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

  /** One round of a look-up, with the number of rounds left, this one included. */
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
        // The leader writes the job's own outcome once it learns of the cancelled dependency.
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

    /**
     * Reads all unread jobs of one level of dependencies together, so that a look-up needs one
     * round of reads per level.
     */
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

    /**
     * Continues the look-up when the jobs that are no longer open are known.
     *
     * @param ended the ids of these jobs; empty when they could not be determined
     */
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
