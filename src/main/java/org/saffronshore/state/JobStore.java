package org.saffronshore.state;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;

/**
 * Jobs as users see them: submissions, look-ups and cancellations, for which every controller uses
 * the state service itself, so that none returns an older status than another one did. Only facts
 * that never change are cached.
 */
public final class JobStore {
  private final JobCache cache = new JobCache();
  private final CancellationLog cancellations;
  private final OutcomeReader outcomes;
  private final JobLookup lookup;
  private final JobCanceller canceller;
  private final SubmissionQueue submissions;
  private Consumer<String> cancellationListener = id -> {};

  /** Uses the state service within this controller's share of its rates. */
  public JobStore(EventLoop loop, StateClient state, Settings settings) {
    this.cancellations = new CancellationLog(loop, settings.cancellationDeadlineS());
    this.outcomes = new OutcomeReader(state, this::recordOutcome);
    JobReader reader = new JobReader(state, cache, outcomes);
    this.lookup =
        new JobLookup(
            cache,
            reader,
            outcomes,
            new OpenJobChecker(loop, state, cache, settings),
            Transaction.maxConditions(settings));
    this.canceller = new JobCanceller(loop, state, cache, outcomes, this::recordOutcome);
    this.submissions = new SubmissionQueue(loop, state, cache, reader, settings);
  }

  /**
   * Accepts a job, once, if all jobs that it depends on were accepted.
   *
   * @param submittedMs the time of day of the submission, in milliseconds since the epoch
   */
  public void submit(JobSpec job, long submittedMs, Consumer<SubmissionResult> callback) {
    submissions.submit(job, submittedMs, callback);
  }

  /** Looks up the status of a job; CANCELLED also when a job that it depends on is cancelled. */
  public void lookUp(String id, Consumer<JobStatus> callback) {
    lookup.lookUp(id, callback);
  }

  /** Cancels a job that is open; the callback gets its status after that. */
  public void cancel(String id, Consumer<JobStatus> callback) {
    canceller.cancel(id, callback);
  }

  /**
   * Reads the outcomes of some jobs: NOT_FOUND for one that has none, UNKNOWN when that could not
   * be read.
   */
  public void readOutcomes(Collection<String> ids, Consumer<Map<String, JobOutcome>> callback) {
    outcomes.readAll(ids, callback);
  }

  /** Keeps an outcome, DONE or CANCELLED, that was committed or read. */
  public void recordOutcome(String id, JobStatus outcome) {
    if (cache.putOutcome(id, outcome) && outcome == JobStatus.CANCELLED) {
      cancellations.add(id);
      cancellationListener.accept(id);
    }
  }

  /** Sets who is called at once when this process commits a cancellation, or reads of one. */
  public void onCancelled(Consumer<String> listener) {
    cancellationListener = listener;
  }

  /**
   * The cancellations that this process learned of within the time that one may take. Those that
   * this process has confirmed to users are among them.
   */
  public List<String> recentlyCancelled() {
    return cancellations.recent();
  }

  /** For how many seconds {@link #recentlyCancelled} is complete. */
  public double cancellationsCompleteForS() {
    return cancellations.completeForS();
  }
}
