package org.saffronshore.state;

/** The status of a job, as a controller knows it. */
public enum JobStatus {
  /** The status could not be read from the state service. */
  UNKNOWN,

  /** The job was never accepted. */
  NOT_FOUND,

  /** The job was accepted and has no outcome. */
  OPEN,

  /** All tasks of the job are finished. */
  DONE,

  /** A user cancelled the job, or a job that it depends on. */
  CANCELLED
}
