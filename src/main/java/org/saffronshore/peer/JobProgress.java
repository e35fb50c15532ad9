package org.saffronshore.peer;

/** How far a job is, as shown to users. */
public record JobProgress(int done, int running) {
  /** Nothing is known to run or to be done. */
  public static final JobProgress NONE = new JobProgress(0, 0);
}
