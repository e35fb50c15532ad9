package org.saffronshore.state;

/** The result of a submission. */
public enum SubmissionResult {
  /** The job was accepted, and is open. */
  ACCEPTED,

  /**
   * The job was accepted, but a job that it depends on may be cancelled: the caller has to look up
   * the job's status.
   */
  ACCEPTED_UNVERIFIED,

  /** A job with the same id was accepted before. */
  DUPLICATE,

  /**
   * The result could not be determined: the job may have been accepted, or may still be accepted
   * later.
   */
  UNKNOWN,

  /** The submission was rejected because the queue was full or a rate limit was reached. */
  OVERLOADED,

  /** The job depends on a job that was never accepted. */
  UNKNOWN_DEPENDENCY
}
