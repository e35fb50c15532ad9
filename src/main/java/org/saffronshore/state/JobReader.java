package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads jobs from the state service into the cache. A few jobs are read one by one. For many jobs,
 * the open ones are found in a listing of all open jobs, and the outcomes of the others are read
 * afterwards.
 *
 * <p>A job's record is read before its outcome. A single transaction deletes the record and writes
 * the outcome, so finding neither in this order proves that the job had not been accepted when its
 * record was read.
 */
final class JobReader {
  private final StateClient state;
  private final JobCache cache;
  private final OutcomeReader outcomes;

  JobReader(StateClient state, JobCache cache, OutcomeReader outcomes) {
    this.state = state;
    this.cache = cache;
    this.outcomes = outcomes;
  }

  /** Reads the status of one job. */
  void read(String id, Consumer<JobStatus> callback) {
    state.get(
        Keys.openJob(id),
        RequestPriority.NORMAL,
        result -> {
          if (result.isFound()) {
            putOpenJob(id, result.value(), result.version());
            callback.accept(JobStatus.OPEN);
          } else if (result.isMissing()) {
            cache.dropOpenJob(id);
            outcomes.read(id, outcome -> callback.accept(outcome.status()));
          } else {
            callback.accept(JobStatus.UNKNOWN);
          }
        });
  }

  private void putOpenJob(String id, JsonNode stored, long version) {
    cache.putOpenJob(id, new JobCache.OpenJob(version, JobRecord.parseDependencies(stored)));
  }

  /**
   * Reads those of the given jobs that are not in the cache. The callback receives NOT_FOUND when
   * any job was never accepted, otherwise UNKNOWN when any job could not be read, and OPEN when all
   * jobs were accepted.
   */
  void readAll(Collection<String> ids, Consumer<JobStatus> callback) {
    List<String> unread = ids.stream().filter(id -> !cache.isAccepted(id)).toList();
    if (unread.isEmpty()) {
      callback.accept(JobStatus.OPEN);
    } else if (unread.size() <= OutcomeReader.MAX_SINGLE_READS) {
      ResultCollector<JobStatus> statuses =
          new ResultCollector<>(unread.size(), all -> callback.accept(summary(all.values())));
      unread.forEach(id -> read(id, status -> statuses.add(id, status)));
    } else {
      listOpen(
          open -> {
            if (open.isEmpty()) {
              callback.accept(JobStatus.UNKNOWN);
            } else {
              readOutcomes(
                  unread.stream().filter(id -> !open.get().contains(id)).toList(), callback);
            }
          });
    }
  }

  private void readOutcomes(List<String> ids, Consumer<JobStatus> callback) {
    outcomes.readAll(
        ids,
        read -> callback.accept(summary(read.values().stream().map(JobOutcome::status).toList())));
  }

  private static JobStatus summary(Collection<JobStatus> statuses) {
    if (statuses.contains(JobStatus.NOT_FOUND)) {
      return JobStatus.NOT_FOUND;
    }
    return statuses.contains(JobStatus.UNKNOWN) ? JobStatus.UNKNOWN : JobStatus.OPEN;
  }

  /**
   * Lists the ids of the open jobs; the callback receives an empty result when they could not be
   * listed. Pages may be read at different moments, but every listed job was open when the listing
   * began, or was accepted later.
   */
  void listOpen(Consumer<Optional<Set<String>>> callback) {
    state.list(
        Keys.OPEN_JOBS,
        RequestPriority.NORMAL,
        listing -> callback.accept(listing.map(this::putOpenJobs)));
  }

  private Set<String> putOpenJobs(Listing listing) {
    Set<String> open = new HashSet<>();
    for (StoredEntry entry : listing.entries()) {
      String id = Keys.idOf(entry.key());
      open.add(id);
      putOpenJob(id, entry.value(), entry.version());
    }
    return open;
  }
}
