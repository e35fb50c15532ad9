package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to a user about a job.
 *
 * @param job the job's id
 * @param doneTasks the number of tasks that are done; sent only for an open job
 * @param runningTasks the number of tasks that are running; sent only for an open job
 */
public record JobStatusResponse(String job, Status status, int doneTasks, int runningTasks) {

  /** The states of a job that users see, with their names on the wire. */
  public enum Status {
    PENDING("pending", true),
    RUNNING("running", true),
    DONE("done", false),
    CANCELLED("aborted", false);

    private final String wireName;
    private final boolean open;

    Status(String wireName, boolean open) {
      this.wireName = wireName;
      this.open = open;
    }
  }

  /** Returns the status of an open job: running if any of its tasks is running, else pending. */
  public static JobStatusResponse open(String job, int doneTasks, int runningTasks) {
    Status status = runningTasks > 0 ? Status.RUNNING : Status.PENDING;
    return new JobStatusResponse(job, status, doneTasks, runningTasks);
  }

  /** Returns the status of a job with every task done. */
  public static JobStatusResponse done(String job) {
    return new JobStatusResponse(job, Status.DONE, 0, 0);
  }

  /**
   * Returns the status of a job that was cancelled, directly or through one of its dependencies.
   */
  public static JobStatusResponse cancelled(String job) {
    return new JobStatusResponse(job, Status.CANCELLED, 0, 0);
  }

  /** Returns the body of the response. */
  public ObjectNode toJson() {
    ObjectNode tree = Json.object().put("Uid", job).put("Status", status.wireName);
    if (status.open) {
      tree.put("done", doneTasks).put("running", runningTasks);
    }
    return tree;
  }
}
