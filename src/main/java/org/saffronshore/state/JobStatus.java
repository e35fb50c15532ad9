package org.saffronshore.state;

/** What a controller knows of a job. */
public enum JobStatus {
  /** The state service did not say. */
  UNKNOWN,

  /** It was never accepted. */
  NOT_FOUND,

  /** It was accepted and has no outcome. */
  OPEN,

  /** All of its tasks are finished. */
  DONE,

  /** A user cancelled it, or a job that it depends on. */
  CANCELLED
}
