package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/**
 * The outcome of a job: the value of its key under {@link Keys#JOB_OUTCOMES}, which never changes.
 *
 * @param status DONE or CANCELLED; NOT_FOUND when the job has no outcome, UNKNOWN when none could
 *     be read
 * @param atMs the time of day at which the job ended, in milliseconds since the epoch; 0 when the
 *     time was not recorded. The waiting times of jobs that depend on this one are measured from
 *     this time
 */
public record JobOutcome(JobStatus status, long atMs) {
  static final JobOutcome NOT_FOUND = new JobOutcome(JobStatus.NOT_FOUND, 0);
  static final JobOutcome UNKNOWN = new JobOutcome(JobStatus.UNKNOWN, 0);

  private static final String STATUS_FIELD = "State";
  private static final String TIME_FIELD = "At";
  private static final String DONE = "done";
  private static final String CANCELLED = "aborted";

  /** Reads a stored value; the status is UNKNOWN when the value is not an outcome. */
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

  /** Returns the stored form of an outcome that is DONE or CANCELLED. */
  public JsonNode toJson() {
    return Json.object()
        .put(STATUS_FIELD, status == JobStatus.DONE ? DONE : CANCELLED)
        .put(TIME_FIELD, atMs);
  }

  /**
   * Adds the conditions and writes that end a job: the job's record is deleted and this outcome is
   * put, provided that the record has the given version and there is no outcome yet. No job ends in
   * any other way.
   */
  public Transaction addTo(Transaction transaction, String id, long version) {
    return transaction
        .expectVersion(Keys.openJob(id), version)
        .expectVersion(Keys.jobOutcome(id), Transaction.ABSENT)
        .put(Keys.jobOutcome(id), toJson())
        .delete(Keys.openJob(id));
  }
}
