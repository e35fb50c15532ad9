package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/**
 * How a job ended: the value of its key under {@link Keys#JOB_OUTCOMES}, which never changes.
 *
 * @param status DONE or CANCELLED; NOT_FOUND when the job has no outcome, UNKNOWN when none could
 *     be read
 * @param atMs the time of day at which it ended, in milliseconds since the epoch: the times of jobs
 *     that depend on this one count from then; 0 when it was not recorded
 */
public record JobOutcome(JobStatus status, long atMs) {
  static final JobOutcome NOT_FOUND = new JobOutcome(JobStatus.NOT_FOUND, 0);
  static final JobOutcome UNKNOWN = new JobOutcome(JobStatus.UNKNOWN, 0);

  private static final String STATUS_FIELD = "State";
  private static final String TIME_FIELD = "At";
  private static final String DONE = "done";
  private static final String CANCELLED = "aborted";

  /** Reads a stored value; its status is UNKNOWN when it is no outcome. */
  static JobOutcome parse(JsonNode stored) {
    return new JobOutcome(
        parseStatus(stored.path(STATUS_FIELD)), Json.integer(stored, TIME_FIELD, 0));
  }

  private static JobStatus parseStatus(JsonNode stored) {
    if (!stored.isTextual()) {
      return JobStatus.UNKNOWN;
    }
    return switch (stored.textValue()) {
      case DONE -> JobStatus.DONE;
      case CANCELLED -> JobStatus.CANCELLED;
      default -> JobStatus.UNKNOWN;
    };
  }

  /** The stored form of an outcome that is DONE or CANCELLED. */
  public JsonNode toJson() {
    return Json.object()
        .put(STATUS_FIELD, status == JobStatus.DONE ? DONE : CANCELLED)
        .put(TIME_FIELD, atMs);
  }

  /**
   * Adds the only way in which a job ends: its record is deleted and this outcome is put, if the
   * record has that version and there is no outcome.
   */
  public Transaction addTo(Transaction transaction, String id, long version) {
    return transaction
        .expectVersion(Keys.openJob(id), version)
        .expectVersion(Keys.jobOutcome(id), Transaction.ABSENT)
        .put(Keys.jobOutcome(id), toJson())
        .delete(Keys.openJob(id));
  }
}
