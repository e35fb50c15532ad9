package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Loop;
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
  public enum Status {
    UNKNOWN,
    ABSENT,
    OPEN,
    DONE,
    CANCELLED
  }

  /**
   * What became of a submission. NEW: accepted, and open. NEW_UNPROVEN: accepted, but a job that it
   * needs may be cancelled, so its status has to be looked up. KNOWN: accepted before. MISSING: it
   * needs a job that never was.
   */
  public enum Accepted {
    NEW,
    NEW_UNPROVEN,
    KNOWN,
    UNKNOWN,
    OVERLOADED,
    MISSING
  }

  private static final int TRIES = 4;

  /** Beyond so many transactions that compare, a listing of all open jobs costs less. */
  private static final int MAX_COMPARES = 4;

  /** How a job ended, and when, at a time of day; 0 when that was not written down. */
  public record End(Status status, long atMs) {
    /** Reads a stored end; UNKNOWN when it is none. */
    static End parse(JsonNode stored) {
      String text = Json.text(stored, "State");
      Status status =
          "done".equals(text)
              ? Status.DONE
              : "aborted".equals(text) ? Status.CANCELLED : Status.UNKNOWN;
      return new End(status, Json.count(stored, "At", 0));
    }
  }

  private final Loop loop;
  private final StateClient state;
  private final int maxGuards;
  private final JobCache cache = new JobCache();
  private final CancellationLog cancellations;
  private final JobReader reader;
  private final OpenCheck openCheck;
  private final SubmissionQueue submissions;
  private Consumer<String> onCancelled = id -> {};

  /** Uses the state service within this node's share of its rates. */
  public JobStore(Loop loop, StateClient state, Settings settings) {
    this.loop = loop;
    this.state = state;
    this.maxGuards = Txn.maxGuards(settings);
    this.cancellations = new CancellationLog(loop, settings.cancelS());
    this.reader = new JobReader(state, cache, this::remember);
    this.openCheck = new OpenCheck(loop, state, cache, settings);
    this.submissions = new SubmissionQueue(loop, state, cache, reader, settings);
  }

  /**
   * @param atMs the time of day: the times of jobs that need this one count from then
   */
  public static JsonNode endRecord(Status status, long atMs) {
    return Json.object().put("State", status == Status.DONE ? "done" : "aborted").put("At", atMs);
  }

  /**
   * Adds the one way in which a job ends: its key goes, and its end comes, if it is open in that
   * version.
   */
  public static Txn end(Txn txn, String id, long version, Status status, long atMs) {
    return txn.guard(Keys.job(id), version)
        .guard(Keys.end(id), 0)
        .set(Keys.end(id), endRecord(status, atMs))
        .remove(Keys.job(id));
  }

  /** Accepts a job, once, if all jobs that it needs were accepted. */
  public void accept(JobSpec job, long submittedMs, Consumer<Accepted> then) {
    submissions.accept(job, submittedMs, then);
  }

  /**
   * Looks a job up. A job is cancelled if it, or any that it needs, directly or through others, has
   * that end: this is told as soon as it is so, whoever is away and whether or not its own end was
   * written. So of an open job that needs others all of these must be open or done, at one moment:
   * a transaction that only compares tells, in one request.
   */
  public void look(String id, Consumer<Status> then) {
    look(id, TRIES, then);
  }

  private void look(String id, int tries, Consumer<Status> then) {
    Status known = cache.end(id);
    if (known != null) {
      then.accept(known);
    } else if (tries == 0) {
      then.accept(Status.UNKNOWN);
    } else if (cache.record(id) != null) {
      lookWithDependencies(id, tries, then);
    } else {
      reader.read(
          id,
          status -> {
            if (status == Status.OPEN && !cache.record(id).dependencies().isEmpty()) {
              lookWithDependencies(id, tries, then);
            } else {
              then.accept(status);
            }
          });
    }
  }

  private void lookWithDependencies(String id, int tries, Consumer<Status> then) {
    JobCache.Closure closure = cache.closure(List.of(id));
    if (closure.cancelled()) {
      // Its own end is still to be written, by the leader, which learns of the other one.
      cache.putEnd(id, Status.CANCELLED);
      then.accept(Status.CANCELLED);
    } else if (!closure.unread().isEmpty()) {
      reader.readAll(
          closure.unread(),
          worst -> {
            if (worst == Status.OPEN) {
              // One level further each time: as many as the chain is deep.
              lookWithDependencies(id, tries, then);
            } else {
              then.accept(Status.UNKNOWN);
            }
          });
    } else if (closure.open().size() > MAX_COMPARES * maxGuards) {
      reader.listOpen(
          listed -> {
            if (listed == null) {
              then.accept(Status.UNKNOWN);
            } else {
              notOpen(
                  closure.open().stream().filter(job -> !listed.contains(job)).toList(),
                  id,
                  tries,
                  then);
            }
          });
    } else {
      openCheck.ask(
          closure.open(),
          ended -> {
            if (ended == null) {
              then.accept(Status.UNKNOWN);
            } else {
              notOpen(ended, id, tries, then);
            }
          });
    }
  }

  /** Some of the jobs are not open any more: how they ended decides. */
  private void notOpen(Collection<String> over, String id, int tries, Consumer<Status> then) {
    if (over.isEmpty()) {
      then.accept(Status.OPEN);
      return;
    }
    over.forEach(cache::dropRecord);
    reader.readEnds(over, ends -> look(id, tries - 1, then));
  }

  /**
   * Reads how some jobs ended: ABSENT for one that has no end, UNKNOWN when that could not be read.
   */
  public void readEnds(Collection<String> ids, Consumer<Map<String, End>> then) {
    reader.readEnds(ids, then);
  }

  /** Remembers an end that was committed or read. */
  public void remember(String id, Status end) {
    if (cache.putEnd(id, end) && end == Status.CANCELLED) {
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
  public double cancellationsCoverS() {
    return cancellations.coversS();
  }

  /** Cancels a job that is open. The answer is how the job stands after that. */
  public void cancel(String id, Consumer<Status> then) {
    cancel(id, 3, then);
  }

  private void cancel(String id, int tries, Consumer<Status> then) {
    Status known = cache.end(id);
    if (known != null) {
      then.accept(known);
      return;
    }
    state.get(
        Keys.job(id),
        false,
        open -> {
          if (open.missing()) {
            reader.readEnd(id, end -> then.accept(end.status()));
          } else if (open.unknown()) {
            then.accept(Status.UNKNOWN);
          } else {
            cancel(id, open.version(), tries, then);
          }
        });
  }

  private void cancel(String id, long version, int tries, Consumer<Status> then) {
    Txn txn = end(new Txn(), id, version, Status.CANCELLED, loop.wallMs());
    state.commit(
        txn,
        false,
        result -> {
          if (result.committed()) {
            remember(id, Status.CANCELLED);
            then.accept(Status.CANCELLED);
          } else if (result.refused() && tries > 1) {
            cancel(id, tries - 1, then);
          } else {
            then.accept(Status.UNKNOWN);
          }
        });
  }
}
