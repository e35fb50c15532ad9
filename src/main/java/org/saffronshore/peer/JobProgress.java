package org.saffronshore.peer;

/**
 * The progress of a job, as shown to users.
 *
 * @param done how many of its tasks are done
 * @param running how many of its tasks run
 */
public record JobProgress(int done, int running) {
  /** Nothing is known to run or to be done. */
  public static final JobProgress NONE = new JobProgress(0, 0);
}
