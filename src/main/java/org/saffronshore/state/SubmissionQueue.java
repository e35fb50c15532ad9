package org.saffronshore.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;

/**
 * Accepts jobs, each exactly once. Submissions that arrive while a transaction is in flight share
 * the next one.
 */
final class SubmissionQueue {
  /** The delay before the next try when the write budget is used up, in seconds. */
  private static final double WRITE_BUDGET_RETRY_S = 0.05;

  private static final int MIN_CAPACITY = 4;

  private final EventLoop loop;
  private final StateClient state;
  private final JobCache cache;
  private final JobReader reader;
  private final int maxWrites;
  private final int maxConditions;
  private final int capacity;
  private final ArrayDeque<Submission> waiting = new ArrayDeque<>();

  /** Whether a transaction is in flight, or waits for the write budget. */
  private boolean committing;

  SubmissionQueue(
      EventLoop loop, StateClient state, JobCache cache, JobReader reader, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.reader = reader;
    this.maxWrites = Math.max(1, settings.maxTransactionWrites());
    this.maxConditions = Transaction.maxConditions(settings);
    // About as many submissions as the write budget allows in one second.
    this.capacity =
        (int) Math.max(MIN_CAPACITY, settings.stateWritesPerS() / settings.controllerCount());
  }

  /**
   * Accepts a job if all jobs that it depends on were accepted at any time. Dependencies that are
   * not in the cache are read first.
   */
  void submit(JobSpec job, long submittedMs, Consumer<SubmissionResult> callback) {
    submit(new Submission(job, submittedMs, callback));
  }

  private void submit(Submission submission) {
    if (waiting.size() >= capacity) {
      submission.respond(SubmissionResult.OVERLOADED);
      return;
    }
    reader.readAll(
        submission.dependencies(),
        status -> {
          if (status == JobStatus.NOT_FOUND) {
            submission.respond(SubmissionResult.UNKNOWN_DEPENDENCY);
          } else if (status == JobStatus.UNKNOWN) {
            submission.respond(SubmissionResult.UNKNOWN);
          } else {
            waiting.add(submission);
            if (!committing) {
              commitNext();
            }
          }
        });
  }

  private void commitNext() {
    committing = true;
    int maxSubmissions = Math.min(maxWrites, state.availableWrites());
    if (maxSubmissions < 1) {
      // The queue is short: all waiting submissions are written within about a second.
      loop.schedule(WRITE_BUDGET_RETRY_S, this::commitNext);
      return;
    }
    List<Submission> batch = takeBatch(maxSubmissions);
    Transaction transaction = new Transaction();
    batch.forEach(submission -> submission.addTo(transaction, cache));
    state.commit(
        transaction,
        RequestPriority.NORMAL,
        result -> {
          committing = false;
          handleResult(batch, result);
          if (!committing && !waiting.isEmpty()) {
            commitNext();
          }
        });
  }

  private List<Submission> takeBatch(int maxSubmissions) {
    SubmissionBatch batch = new SubmissionBatch(maxSubmissions, maxConditions);
    while (!waiting.isEmpty() && !batch.isFull()) {
      Submission next = waiting.element();
      next.chooseConditions(cache, maxConditions);
      if (!batch.hasRoomFor(next)) {
        break;
      }
      batch.add(waiting.remove());
    }
    return batch.submissions();
  }

  private void handleResult(List<Submission> batch, CommitResult result) {
    List<Submission> retried =
        switch (result.outcome()) {
          case COMMITTED -> {
            batch.forEach(submission -> accept(submission, result.revision()));
            yield List.of();
          }
          case CONFLICT -> handleConflict(batch, result.conflictingJobs());
          case MALFORMED -> handleMalformed(batch);
          case OVERLOADED -> {
            batch.forEach(submission -> submission.respond(SubmissionResult.OVERLOADED));
            yield List.of();
          }
          case UNKNOWN -> {
            batch.forEach(submission -> submission.respond(SubmissionResult.UNKNOWN));
            yield List.of();
          }
        };
    for (Submission submission : reversed(retried)) {
      waiting.addFirst(submission);
    }
  }

  private static List<Submission> reversed(List<Submission> submissions) {
    List<Submission> reversed = new ArrayList<>(submissions);
    Collections.reverse(reversed);
    return reversed;
  }

  private void accept(Submission submission, long version) {
    cache.putOpenJob(submission.id(), new JobCache.OpenJob(version, submission.dependencies()));
    submission.respond(submission.acceptedResult());
  }

  /**
   * Returns the submissions of a malformed transaction, to be tried again, each in a transaction of
   * its own, since any of them may be the cause. A submission that was alone in the transaction is
   * not tried again.
   */
  private static List<Submission> handleMalformed(List<Submission> batch) {
    if (batch.size() == 1) {
      batch.get(0).respond(SubmissionResult.UNKNOWN);
      return List.of();
    }
    batch.forEach(Submission::requireOwnTransaction);
    return batch;
  }

  /**
   * Returns the submissions to be tried again: those that the conflict does not concern. When the
   * conflict concerns none of the submissions, its cause is unknown, and no submission is tried
   * again.
   */
  private List<Submission> handleConflict(List<Submission> batch, Set<String> conflicting) {
    List<Submission> unaffected = new ArrayList<>();
    for (Submission submission : batch) {
      if (conflicting.contains(submission.id())) {
        submission.respond(SubmissionResult.DUPLICATE);
      } else if (!Collections.disjoint(submission.openDependencies(), conflicting)) {
        // A dependency has ended since it was read: the submission starts over, which reads the
        // dependency's outcome.
        submission.openDependencies().stream()
            .filter(conflicting::contains)
            .forEach(cache::dropOpenJob);
        submit(submission);
      } else {
        unaffected.add(submission);
      }
    }
    if (unaffected.size() < batch.size()) {
      return unaffected;
    }
    reversed(unaffected).forEach(submission -> submission.respond(SubmissionResult.UNKNOWN));
    return List.of();
  }
}
