package org.saffronshore.state;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;

/**
 * Serves users' submissions, look-ups and cancellations of jobs. Every controller reads and writes
 * the state service directly for these, so that no controller returns an older status than another
 * one did. Only facts that never change are cached.
 */
public final class JobStore {
  private final JobCache cache = new JobCache();
  private final CancellationLog cancellations;
  private final OutcomeReader outcomes;
  private final JobLookup lookup;
  private final JobCanceller canceller;
  private final SubmissionQueue submissions;
  private Consumer<String> cancellationListener = id -> {};

  /** Creates a store that uses the state service within this controller's share of its rates. */
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
   * Accepts a job exactly once, provided that all jobs that it depends on were accepted.
   *
   * @param submittedMs the time of day of the submission, in milliseconds since the epoch
   */
  public void submit(JobSpec job, long submittedMs, Consumer<SubmissionResult> callback) {
    submissions.submit(job, submittedMs, callback);
  }

  /**
   * Looks up the status of a job. The status is CANCELLED also when a direct or transitive
   * dependency is cancelled.
   */
  public void lookUp(String id, Consumer<JobStatus> callback) {
    lookup.lookUp(id, callback);
  }

  /**
   * Cancels a job if it is open. The callback receives the job's resulting status; UNKNOWN when it
   * could not be determined.
   */
  public void cancel(String id, Consumer<JobStatus> callback) {
    canceller.cancel(id, callback);
  }

  /**
   * Reads the outcomes of the given jobs: NOT_FOUND for a job that has no outcome, UNKNOWN for a
   * job whose outcome could not be read.
   */
  public void readOutcomes(Collection<String> ids, Consumer<Map<String, JobOutcome>> callback) {
    outcomes.readAll(ids, callback);
  }

  /** Records an outcome, DONE or CANCELLED, that was committed or read. */
  public void recordOutcome(String id, JobStatus outcome) {
    if (cache.putOutcome(id, outcome) && outcome == JobStatus.CANCELLED) {
      cancellations.add(id);
      cancellationListener.accept(id);
    }
  }

  /**
   * Sets the listener that is called with a job's id at once when this process first commits or
   * reads the job's cancellation.
   */
  public void onCancelled(Consumer<String> listener) {
    cancellationListener = listener;
  }

  /**
   * Returns the jobs whose cancellations this process learned of within the time that a
   * cancellation may take, including those that it has confirmed to users.
   */
  public List<String> recentlyCancelled() {
    return cancellations.recent();
  }

  /** Returns the number of past seconds for which {@link #recentlyCancelled} is complete. */
  public double cancellationsCompleteForS() {
    return cancellations.completeForS();
  }
}
