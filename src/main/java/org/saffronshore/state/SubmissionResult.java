package org.saffronshore.state;

/** What became of a submission. */
public enum SubmissionResult {
  /** The job was accepted, and is open. */
  ACCEPTED,

  /**
   * The job was accepted, but one that it depends on may be cancelled: its status has to be looked
   * up.
   */
  ACCEPTED_UNVERIFIED,

  /** A job of that id was accepted before. */
  DUPLICATE,

  /** The state service did not say: the job may have been accepted, or may yet be. */
  UNKNOWN,

  /** The submission was refused for the rate of writes. */
  OVERLOADED,

  /** The job depends on one that was never accepted. */
  UNKNOWN_DEPENDENCY
}
