package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.saffronshore.state.JobStore.JobOutcome;
import org.saffronshore.state.JobStore.JobStatus;

/**
 * Reads jobs from the state service into the cache. A few jobs are read one by one; of many, the
 * open ones are found in a listing of all open jobs, and the others in listings of the ends around
 * them. So a job that needs hundreds of others costs a few requests and not hundreds, which would
 * be more than a controller's share of the request rate.
 *
 * <p>An open job is looked for before its end. A job goes from one to the other in a single
 * transaction, so finding neither in this order proves that it was not accepted when the first was
 * read.
 */
final class JobReader {
  /** Up to so many jobs are read one by one. */
  private static final int FEW = 8;

  private final StateClient state;
  private final JobCache cache;
  private final BiConsumer<String, JobStatus> onOutcome;

  /**
   * @param onOutcome is told of every end that is read
   */
  JobReader(StateClient state, JobCache cache, BiConsumer<String, JobStatus> onOutcome) {
    this.state = state;
    this.cache = cache;
    this.onOutcome = onOutcome;
  }

  /**
   * Reads one job: OPEN, or how it ended, or ABSENT, or UNKNOWN when the state service did not
   * tell.
   */
  void read(String id, Consumer<JobStatus> then) {
    state.get(
        Keys.openJob(id),
        false,
        answer -> {
          if (answer.isFound()) {
            keep(id, answer.value(), answer.version());
            then.accept(JobStatus.OPEN);
          } else if (answer.isMissing()) {
            cache.dropOpenJob(id);
            readOutcome(id, end -> then.accept(end.status()));
          } else {
            then.accept(JobStatus.UNKNOWN);
          }
        });
  }

  private void keep(String id, JsonNode stored, long version) {
    cache.putOpenJob(id, new JobCache.OpenJob(version, JobRecord.parseDependencies(stored)));
  }

  /**
   * Reads what is not known of some jobs. Tells the worst of it: ABSENT, then UNKNOWN; OPEN when
   * all were accepted.
   */
  void readAll(Collection<String> ids, Consumer<JobStatus> then) {
    List<String> unread = ids.stream().filter(id -> !cache.isAccepted(id)).toList();
    if (unread.isEmpty()) {
      then.accept(JobStatus.OPEN);
    } else if (unread.size() <= FEW) {
      Gathered<JobStatus> read =
          new Gathered<>(unread.size(), all -> then.accept(worst(all.values())));
      unread.forEach(id -> read(id, status -> read.add(id, status)));
    } else {
      listOpen(
          open -> {
            if (open == null) {
              then.accept(JobStatus.UNKNOWN);
              return;
            }
            List<String> over = unread.stream().filter(id -> !open.contains(id)).toList();
            readOutcomes(
                over,
                ends ->
                    then.accept(worst(ends.values().stream().map(JobOutcome::status).toList())));
          });
    }
  }

  private static JobStatus worst(Collection<JobStatus> statuses) {
    if (statuses.contains(JobStatus.NOT_FOUND)) {
      return JobStatus.NOT_FOUND;
    }
    return statuses.contains(JobStatus.UNKNOWN) ? JobStatus.UNKNOWN : JobStatus.OPEN;
  }

  /**
   * Lists the open jobs. Pages may be of different moments, but a job that is listed was open when
   * the listing began, or was accepted later; null when the list could not be had.
   */
  void listOpen(Consumer<Set<String>> then) {
    state.list(
        Keys.OPEN_JOBS,
        false,
        listing -> {
          if (listing == null) {
            then.accept(null);
            return;
          }
          Set<String> open = new HashSet<>();
          for (StateClient.Entry entry : listing.entries()) {
            String id = Keys.idOf(entry.key());
            open.add(id);
            keep(id, entry.value(), entry.version());
          }
          then.accept(open);
        });
  }

  /** Reads how a job ended: ABSENT when it has no end, UNKNOWN when that could not be read. */
  void readOutcome(String id, Consumer<JobOutcome> then) {
    state.get(
        Keys.jobOutcome(id),
        false,
        answer -> {
          if (answer.isFound()) {
            then.accept(ended(id, answer.value()));
          } else {
            then.accept(
                new JobOutcome(answer.isMissing() ? JobStatus.NOT_FOUND : JobStatus.UNKNOWN, 0));
          }
        });
  }

  private JobOutcome ended(String id, JsonNode stored) {
    JobOutcome end = JobOutcome.parse(stored);
    if (end.status() != JobStatus.UNKNOWN) {
      onOutcome.accept(id, end.status());
    }
    return end;
  }

  /** Reads how some jobs ended; each of them is told of. */
  void readOutcomes(Collection<String> ids, Consumer<Map<String, JobOutcome>> then) {
    if (ids.isEmpty()) {
      then.accept(Map.of());
    } else if (ids.size() <= FEW) {
      Gathered<JobOutcome> read = new Gathered<>(ids.size(), then);
      ids.forEach(id -> readOutcome(id, end -> read.add(id, end)));
    } else {
      listOutcomes(new TreeSet<>(ids), new HashMap<>(), then);
    }
  }

  /**
   * Lists the ends from the first job that is left on; one page tells of all jobs up to its last
   * key.
   */
  private void listOutcomes(
      NavigableSet<String> left,
      Map<String, JobOutcome> read,
      Consumer<Map<String, JobOutcome>> then) {
    if (left.isEmpty()) {
      then.accept(read);
      return;
    }
    String first = left.first();
    // A prefix of a key comes before it, and a listing begins after the key that it is given.
    String before = Keys.jobOutcome(first.substring(0, first.length() - 1));
    state.listPage(
        Keys.JOB_OUTCOMES,
        before,
        page -> {
          if (page == null) {
            left.forEach(id -> read.put(id, new JobOutcome(JobStatus.UNKNOWN, 0)));
            then.accept(read);
            return;
          }
          for (StateClient.Entry entry : page.entries()) {
            String id = Keys.idOf(entry.key());
            if (left.remove(id)) {
              read.put(id, ended(id, entry.value()));
            }
          }
          String last =
              page.last() ? null : Keys.idOf(page.entries().get(page.entries().size() - 1).key());
          while (!left.isEmpty() && (last == null || left.first().compareTo(last) < 0)) {
            read.put(left.pollFirst(), new JobOutcome(JobStatus.NOT_FOUND, 0));
          }
          listOutcomes(left, read, then);
        });
  }

  /** Answers that come one by one, handed on once all are there. */
  private static final class Gathered<T> {
    private final int expected;
    private final Map<String, T> all = new HashMap<>();
    private final Consumer<Map<String, T>> then;

    Gathered(int expected, Consumer<Map<String, T>> then) {
      this.expected = expected;
      this.then = then;
    }

    void add(String id, T answer) {
      all.put(id, answer);
      if (all.size() == expected) {
        then.accept(all);
      }
    }
  }
}
