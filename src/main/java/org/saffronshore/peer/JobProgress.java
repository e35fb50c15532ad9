package org.saffronshore.peer;

/**
 * The progress of a job as users see it.
 *
 * @param done the number of its tasks that are done
 * @param running the number of its tasks that are running
 */
public record JobProgress(int done, int running) {
  /** The progress of a job of which no task is known to be running or done. */
  public static final JobProgress NONE = new JobProgress(0, 0);
}
