package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Reads the outcomes of jobs. The outcomes of a few jobs are read one by one, and those of many
 * jobs from listings of the outcomes around them. Reading hundreds of jobs thus takes a few
 * requests; one request per job would exceed a controller's share of the request rate.
 */
final class OutcomeReader {
  /** The maximum number of jobs that are read one by one. */
  static final int MAX_SINGLE_READS = 8;

  private final StateClient state;
  private final BiConsumer<String, JobStatus> onOutcome;

  /**
   * Creates a reader.
   *
   * @param onOutcome called with every outcome that is read
   */
  OutcomeReader(StateClient state, BiConsumer<String, JobStatus> onOutcome) {
    this.state = state;
    this.onOutcome = onOutcome;
  }

  /** Reads a job's outcome: NOT_FOUND when the job has none, UNKNOWN when it could not be read. */
  void read(String id, Consumer<JobOutcome> callback) {
    state.get(
        Keys.jobOutcome(id),
        RequestPriority.NORMAL,
        result ->
            callback.accept(
                switch (result.presence()) {
                  case FOUND -> parseAndRecord(id, result.value());
                  case MISSING -> JobOutcome.NOT_FOUND;
                  case UNKNOWN -> JobOutcome.UNKNOWN;
                }));
  }

  private JobOutcome parseAndRecord(String id, JsonNode stored) {
    JobOutcome outcome = JobOutcome.parse(stored);
    if (outcome.status() != JobStatus.UNKNOWN) {
      onOutcome.accept(id, outcome.status());
    }
    return outcome;
  }

  /** Reads the outcomes of the given jobs, each as {@link #read} does. */
  void readAll(Collection<String> ids, Consumer<Map<String, JobOutcome>> callback) {
    if (ids.isEmpty()) {
      callback.accept(Map.of());
    } else if (ids.size() <= MAX_SINGLE_READS) {
      ResultCollector<JobOutcome> outcomes = new ResultCollector<>(ids.size(), callback);
      ids.forEach(id -> read(id, outcome -> outcomes.add(id, outcome)));
    } else {
      listRemaining(new TreeSet<>(ids), new HashMap<>(), callback);
    }
  }

  /** Lists outcomes page by page, each from the first remaining job on, until no job remains. */
  private void listRemaining(
      NavigableSet<String> remaining,
      Map<String, JobOutcome> outcomes,
      Consumer<Map<String, JobOutcome>> callback) {
    if (remaining.isEmpty()) {
      callback.accept(outcomes);
      return;
    }
    String first = remaining.first();
    // A listing begins after the key that it is given, and a prefix of a key sorts before the key.
    String before = Keys.jobOutcome(first.substring(0, first.length() - 1));
    state.listPage(
        Keys.JOB_OUTCOMES,
        before,
        RequestPriority.NORMAL,
        page -> {
          if (page.isEmpty()) {
            remaining.forEach(id -> outcomes.put(id, JobOutcome.UNKNOWN));
            callback.accept(outcomes);
          } else {
            recordPage(page.get(), remaining, outcomes);
            listRemaining(remaining, outcomes, callback);
          }
        });
  }

  /**
   * Records the outcomes in a page. Remaining jobs that sort before the page's last key have no
   * outcome; if the page is the last one, all remaining jobs have none.
   */
  private void recordPage(
      ListingPage page, NavigableSet<String> remaining, Map<String, JobOutcome> outcomes) {
    for (StoredEntry entry : page.entries()) {
      String id = Keys.idOf(entry.key());
      if (remaining.remove(id)) {
        outcomes.put(id, parseAndRecord(id, entry.value()));
      }
    }
    while (!remaining.isEmpty()
        && (page.last() || remaining.first().compareTo(Keys.idOf(page.lastKey())) < 0)) {
      outcomes.put(remaining.pollFirst(), JobOutcome.NOT_FOUND);
    }
  }
}
