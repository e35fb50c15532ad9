package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/**
 * What users are told about jobs. Every node answers from the state service itself, so that no node
 * gives an older answer than another one did. Only what never changes of a job is remembered here.
 */
public final class JobStore {

  /**
   * What is known of a job: UNKNOWN means that the store could not tell, ABSENT that it was never
   * accepted.
   */
  public enum JobStatus {
    UNKNOWN,
    NOT_FOUND,
    OPEN,
    DONE,
    CANCELLED
  }

  /**
   * What became of a submission. NEW: accepted, and open. NEW_UNPROVEN: accepted, but a job that it
   * needs may be cancelled, so its status has to be looked up. KNOWN: accepted before. MISSING: it
   * needs a job that never was.
   */
  public enum SubmissionResult {
    ACCEPTED,
    ACCEPTED_UNVERIFIED,
    DUPLICATE,
    UNKNOWN,
    OVERLOADED,
    UNKNOWN_DEPENDENCY
  }

  private static final int TRIES = 4;

  /** Beyond so many transactions that compare, a listing of all open jobs costs less. */
  private static final int MAX_COMPARES = 4;

  /** How a job ended, and when, at a time of day; 0 when that was not written down. */
  public record JobOutcome(JobStatus status, long atMs) {
    /** Reads a stored end; UNKNOWN when it is none. */
    static JobOutcome parse(JsonNode stored) {
      String text = Json.text(stored, "State");
      JobStatus status =
          "done".equals(text)
              ? JobStatus.DONE
              : "aborted".equals(text) ? JobStatus.CANCELLED : JobStatus.UNKNOWN;
      return new JobOutcome(status, Json.integer(stored, "At", 0));
    }
  }

  private final EventLoop loop;
  private final StateClient state;
  private final int maxGuards;
  private final JobCache cache = new JobCache();
  private final CancellationLog cancellations;
  private final JobReader reader;
  private final OpenJobChecker openCheck;
  private final SubmissionQueue submissions;
  private Consumer<String> onCancelled = id -> {};

  /** Uses the state service within this node's share of its rates. */
  public JobStore(EventLoop loop, StateClient state, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.maxGuards = Transaction.maxConditions(settings);
    this.cancellations = new CancellationLog(loop, settings.cancellationDeadlineS());
    this.reader = new JobReader(state, cache, this::recordOutcome);
    this.openCheck = new OpenJobChecker(loop, state, cache, settings);
    this.submissions = new SubmissionQueue(loop, state, cache, reader, settings);
  }

  /**
   * The stored form of an outcome.
   *
   * @param atMs the time of day: the times of jobs that need this one count from then
   */
  public static JsonNode outcomeRecord(JobStatus status, long atMs) {
    return Json.object()
        .put("State", status == JobStatus.DONE ? "done" : "aborted")
        .put("At", atMs);
  }

  /**
   * Adds the one way in which a job ends: its key goes, and its end comes, if it is open in that
   * version.
   */
  public static Transaction addOutcome(
      Transaction txn, String id, long version, JobStatus status, long atMs) {
    return txn.expectVersion(Keys.openJob(id), version)
        .expectVersion(Keys.jobOutcome(id), 0)
        .put(Keys.jobOutcome(id), outcomeRecord(status, atMs))
        .delete(Keys.openJob(id));
  }

  /** Accepts a job, once, if all jobs that it needs were accepted. */
  public void submit(JobSpec job, long submittedMs, Consumer<SubmissionResult> then) {
    submissions.submit(job, submittedMs, then);
  }

  /**
   * Looks a job up. A job is cancelled if it, or any that it needs, directly or through others, has
   * that end: this is told as soon as it is so, whoever is away and whether or not its own end was
   * written. So of an open job that needs others all of these must be open or done, at one moment:
   * a transaction that only compares tells, in one request.
   */
  public void lookUp(String id, Consumer<JobStatus> then) {
    lookUp(id, TRIES, then);
  }

  private void lookUp(String id, int tries, Consumer<JobStatus> then) {
    JobStatus known = cache.outcome(id);
    if (known != null) {
      then.accept(known);
    } else if (tries == 0) {
      then.accept(JobStatus.UNKNOWN);
    } else if (cache.openJob(id) != null) {
      lookUpWithDependencies(id, tries, then);
    } else {
      reader.read(
          id,
          status -> {
            if (status == JobStatus.OPEN && !cache.openJob(id).dependencies().isEmpty()) {
              lookUpWithDependencies(id, tries, then);
            } else {
              then.accept(status);
            }
          });
    }
  }

  private void lookUpWithDependencies(String id, int tries, Consumer<JobStatus> then) {
    JobCache.Closure closure = cache.closure(List.of(id));
    if (closure.cancelled()) {
      // Its own end is still to be written, by the leader, which learns of the other one.
      cache.putOutcome(id, JobStatus.CANCELLED);
      then.accept(JobStatus.CANCELLED);
    } else if (!closure.unread().isEmpty()) {
      reader.readAll(
          closure.unread(),
          worst -> {
            if (worst == JobStatus.OPEN) {
              // One level further each time: as many as the chain is deep.
              lookUpWithDependencies(id, tries, then);
            } else {
              then.accept(JobStatus.UNKNOWN);
            }
          });
    } else if (closure.open().size() > MAX_COMPARES * maxGuards) {
      reader.listOpen(
          listed -> {
            if (listed == null) {
              then.accept(JobStatus.UNKNOWN);
            } else {
              notOpen(
                  closure.open().stream().filter(job -> !listed.contains(job)).toList(),
                  id,
                  tries,
                  then);
            }
          });
    } else {
      openCheck.findEnded(
          closure.open(),
          ended -> {
            if (ended == null) {
              then.accept(JobStatus.UNKNOWN);
            } else {
              notOpen(ended, id, tries, then);
            }
          });
    }
  }

  /** Some of the jobs are not open any more: how they ended decides. */
  private void notOpen(Collection<String> over, String id, int tries, Consumer<JobStatus> then) {
    if (over.isEmpty()) {
      then.accept(JobStatus.OPEN);
      return;
    }
    over.forEach(cache::dropOpenJob);
    reader.readOutcomes(over, ends -> lookUp(id, tries - 1, then));
  }

  /**
   * Reads how some jobs ended: ABSENT for one that has no end, UNKNOWN when that could not be read.
   */
  public void readOutcomes(Collection<String> ids, Consumer<Map<String, JobOutcome>> then) {
    reader.readOutcomes(ids, then);
  }

  /** Remembers an end that was committed or read. */
  public void recordOutcome(String id, JobStatus end) {
    if (cache.putOutcome(id, end) && end == JobStatus.CANCELLED) {
      cancellations.add(id);
      onCancelled.accept(id);
    }
  }

  /** Whom to tell at once that this process made a cancellation, or read of one. */
  public void onCancelled(Consumer<String> listener) {
    onCancelled = listener;
  }

  /**
   * The cancellations that this process learned of within the time that one may take. Whatever
   * users were told here is among them.
   */
  public List<String> recentlyCancelled() {
    return cancellations.recent();
  }

  /** For how long {@link #recentlyCancelled} lacks nothing. */
  public double cancellationsCompleteForS() {
    return cancellations.completeForS();
  }

  /** Cancels a job that is open. The answer is how the job stands after that. */
  public void cancel(String id, Consumer<JobStatus> then) {
    cancel(id, 3, then);
  }

  private void cancel(String id, int tries, Consumer<JobStatus> then) {
    JobStatus known = cache.outcome(id);
    if (known != null) {
      then.accept(known);
      return;
    }
    state.get(
        Keys.openJob(id),
        false,
        open -> {
          if (open.isMissing()) {
            reader.readOutcome(id, end -> then.accept(end.status()));
          } else if (open.isUnknown()) {
            then.accept(JobStatus.UNKNOWN);
          } else {
            cancel(id, open.version(), tries, then);
          }
        });
  }

  private void cancel(String id, long version, int tries, Consumer<JobStatus> then) {
    Transaction txn =
        addOutcome(new Transaction(), id, version, JobStatus.CANCELLED, loop.wallClockMs());
    state.commit(
        txn,
        false,
        result -> {
          if (result.isCommitted()) {
            recordOutcome(id, JobStatus.CANCELLED);
            then.accept(JobStatus.CANCELLED);
          } else if (result.isConflict() && tries > 1) {
            cancel(id, tries - 1, then);
          } else {
            then.accept(JobStatus.UNKNOWN);
          }
        });
  }
}
