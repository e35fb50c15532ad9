package org.saffronshore.state;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.saffronshore.http.EventLoop;

/** Cancels jobs on behalf of users. */
final class JobCanceller {
  /**
   * The maximum number of transactions per cancellation. After a conflict, the job is read again
   * and another transaction is sent.
   */
  private static final int MAX_TRIES = 3;

  private final EventLoop loop;
  private final StateClient state;
  private final JobCache cache;
  private final OutcomeReader outcomes;
  private final BiConsumer<String, JobStatus> onOutcome;

  /**
   * Creates a canceller.
   *
   * @param onOutcome called with every cancellation that is committed
   */
  JobCanceller(
      EventLoop loop,
      StateClient state,
      JobCache cache,
      OutcomeReader outcomes,
      BiConsumer<String, JobStatus> onOutcome) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.outcomes = outcomes;
    this.onOutcome = onOutcome;
  }

  /**
   * Cancels a job if it is open. The callback receives the job's resulting status; UNKNOWN when it
   * could not be determined.
   */
  void cancel(String id, Consumer<JobStatus> callback) {
    cancel(id, MAX_TRIES, callback);
  }

  private void cancel(String id, int triesLeft, Consumer<JobStatus> callback) {
    JobStatus outcome = cache.outcome(id);
    if (outcome != null) {
      callback.accept(outcome);
      return;
    }
    state.get(
        Keys.openJob(id),
        RequestPriority.NORMAL,
        result -> {
          if (result.isFound()) {
            commit(id, result.version(), triesLeft, callback);
          } else if (result.isMissing()) {
            outcomes.read(id, read -> callback.accept(read.status()));
          } else {
            callback.accept(JobStatus.UNKNOWN);
          }
        });
  }

  private void commit(String id, long version, int triesLeft, Consumer<JobStatus> callback) {
    JobOutcome cancelled = new JobOutcome(JobStatus.CANCELLED, loop.wallClockMs());
    Transaction transaction = new Transaction();
    cancelled.addTo(transaction, id, version);
    state.commit(
        transaction,
        RequestPriority.NORMAL,
        result -> {
          if (result.isCommitted()) {
            onOutcome.accept(id, JobStatus.CANCELLED);
            callback.accept(JobStatus.CANCELLED);
          } else if (result.isConflict() && triesLeft > 1) {
            cancel(id, triesLeft - 1, callback);
          } else {
            callback.accept(JobStatus.UNKNOWN);
          }
        });
  }
}
