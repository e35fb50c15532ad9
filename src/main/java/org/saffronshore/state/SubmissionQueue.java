package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.JobStore.SubmissionResult;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/**
 * Accepts jobs, each once. Submissions that arrive while a commit is under way share the next one.
 */
final class SubmissionQueue {
  /** How long to wait for the write budget. */
  private static final double PAUSE_S = 0.05;

  /** A transaction may be 64 KiB long; this leaves room for its guards. */
  private static final int MAX_BYTES = 40 * 1024;

  /** A job's own guards: it is not open, and has not ended. */
  private static final int OWN_GUARDS = 2;

  private static final class Submission {
    final JobSpec job;
    final JsonNode stored;
    final int bytes;
    final Consumer<SubmissionResult> then;

    /** Open jobs, all that this one needs, of which the commit proves that they are still open. */
    Set<String> proven = Set.of();

    /** Whether that is all that could be cancelled: if the commit succeeds, this job is not. */
    boolean complete;

    /**
     * The state service refused a transaction with this one and others as malformed: one of them is
     * at fault.
     */
    boolean alone;

    Submission(JobSpec job, JsonNode stored, Consumer<SubmissionResult> then) {
      this.job = job;
      this.stored = stored;
      this.bytes = Json.bytes(stored).length;
      this.then = then;
    }

    int guards() {
      return OWN_GUARDS + proven.size();
    }
  }

  private final EventLoop loop;
  private final StateClient state;
  private final JobCache cache;
  private final JobReader reader;
  private final int maxChanges;
  private final int maxGuards;
  private final int capacity;
  private final ArrayDeque<Submission> waiting = new ArrayDeque<>();
  private boolean committing;

  SubmissionQueue(
      EventLoop loop, StateClient state, JobCache cache, JobReader reader, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.reader = reader;
    this.maxChanges = Math.max(1, settings.maxTransactionWrites());
    this.maxGuards = Transaction.maxConditions(settings);
    // About what the write budget takes in a second.
    this.capacity = (int) Math.max(4, settings.stateWritesPerS() / settings.controllerCount());
  }

  /**
   * Accepts a job if all jobs that it needs were ever accepted, which is read first as far as it is
   * not known.
   */
  void submit(JobSpec job, long submittedMs, Consumer<SubmissionResult> then) {
    submit(new Submission(job, new JobRecord(submittedMs, job).toJson(), then));
  }

  private void submit(Submission submission) {
    if (waiting.size() >= capacity) {
      submission.then.accept(SubmissionResult.OVERLOADED);
      return;
    }
    reader.readAll(
        submission.job.dependencies(),
        worst -> {
          switch (worst) {
            case NOT_FOUND -> submission.then.accept(SubmissionResult.UNKNOWN_DEPENDENCY);
            case UNKNOWN -> submission.then.accept(SubmissionResult.UNKNOWN);
            default -> {
              waiting.add(submission);
              if (!committing) {
                commitNext();
              }
            }
          }
        });
  }

  /**
   * That the needed jobs were accepted never changes and is no matter for the commit. But that none
   * of them is cancelled may be proven with it, where so many guards fit, which saves a look at
   * them afterwards.
   */
  private void prove(Submission submission) {
    JobCache.Closure needed = cache.closure(submission.job.dependencies());
    submission.complete =
        needed.unread().isEmpty()
            && !needed.cancelled()
            && OWN_GUARDS + needed.open().size() <= maxGuards;
    submission.proven = submission.complete ? needed.open() : Set.of();
  }

  private void commitNext() {
    int most = Math.min(maxChanges, state.availableWrites());
    if (most < 1) {
      // The queue is short: what waits here is written within about a second.
      committing = true;
      loop.schedule(PAUSE_S, this::commitNext);
      return;
    }
    List<Submission> batch = takeBatch(most);
    Transaction txn = new Transaction();
    for (Submission submission : batch) {
      String id = submission.job.id();
      txn.expectVersion(Keys.openJob(id), 0).expectVersion(Keys.jobOutcome(id), 0);
      submission.proven.forEach(
          needed -> txn.expectVersion(Keys.openJob(needed), cache.openJob(needed).version()));
      txn.put(Keys.openJob(id), submission.stored);
    }
    committing = true;
    state.commit(
        txn,
        false,
        result -> {
          committing = false;
          committed(batch, result);
          if (!committing && !waiting.isEmpty()) {
            commitNext();
          }
        });
  }

  private List<Submission> takeBatch(int most) {
    List<Submission> batch = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    int bytes = 0;
    int guards = 0;
    while (!waiting.isEmpty() && batch.size() < most) {
      Submission next = waiting.peek();
      prove(next);
      boolean fits =
          !next.alone && bytes + next.bytes <= MAX_BYTES && guards + next.guards() <= maxGuards;
      if (ids.contains(next.job.id()) || (!batch.isEmpty() && !fits)) {
        break;
      }
      batch.add(waiting.poll());
      ids.add(next.job.id());
      bytes += next.bytes;
      guards += next.guards();
      if (next.alone) {
        break;
      }
    }
    return batch;
  }

  private void committed(List<Submission> batch, CommitResult result) {
    switch (result.outcome()) {
      case COMMITTED -> batch.forEach(submission -> accepted(submission, result.revision()));
      case CONFLICT -> refused(batch, result.conflictingJobs());
      case OVERLOADED ->
          batch.forEach(submission -> submission.then.accept(SubmissionResult.OVERLOADED));
      case MALFORMED -> malformed(batch);
      default -> batch.forEach(submission -> submission.then.accept(SubmissionResult.UNKNOWN));
    }
  }

  private void accepted(Submission submission, long version) {
    JobSpec job = submission.job;
    cache.putOpenJob(job.id(), new JobCache.OpenJob(version, job.dependencies()));
    submission.then.accept(
        submission.complete ? SubmissionResult.ACCEPTED : SubmissionResult.ACCEPTED_UNVERIFIED);
  }

  /** One of them is at fault: each is tried alone. */
  private void malformed(List<Submission> batch) {
    if (batch.size() == 1) {
      batch.get(0).then.accept(SubmissionResult.UNKNOWN);
      return;
    }
    Collections.reverse(batch);
    for (Submission submission : batch) {
      submission.alone = true;
      waiting.addFirst(submission);
    }
  }

  private void refused(List<Submission> batch, Set<String> failed) {
    List<Submission> unaffected = new ArrayList<>();
    boolean explained = false;
    for (Submission submission : batch) {
      if (failed.contains(submission.job.id())) {
        explained = true;
        submission.then.accept(SubmissionResult.DUPLICATE);
      } else if (!Collections.disjoint(submission.proven, failed)) {
        // A job that it needs has ended since that was read: its end is read, and the submission
        // tried again.
        explained = true;
        submission.proven.stream().filter(failed::contains).forEach(cache::dropOpenJob);
        submit(submission);
      } else {
        unaffected.add(submission);
      }
    }
    Collections.reverse(unaffected);
    for (Submission submission : unaffected) {
      if (explained) {
        waiting.addFirst(submission);
      } else {
        submission.then.accept(SubmissionResult.UNKNOWN);
      }
    }
  }
}
