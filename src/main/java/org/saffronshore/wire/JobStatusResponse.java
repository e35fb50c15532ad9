package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to a user about a job.
 *
 * @param job the job's id
 * @param doneTasks how many tasks are done; shown of an open job only
 * @param runningTasks how many tasks run; shown of an open job only
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

  /** An open job: running as soon as one of its tasks runs. */
  public static JobStatusResponse open(String job, int doneTasks, int runningTasks) {
    Status status = runningTasks > 0 ? Status.RUNNING : Status.PENDING;
    return new JobStatusResponse(job, status, doneTasks, runningTasks);
  }

  /** A job of which every task is done. */
  public static JobStatusResponse done(String job) {
    return new JobStatusResponse(job, Status.DONE, 0, 0);
  }

  /** A job that was cancelled, by itself or through one that it depends on. */
  public static JobStatusResponse cancelled(String job) {
    return new JobStatusResponse(job, Status.CANCELLED, 0, 0);
  }

  /** The form in which it is sent. */
  public ObjectNode toJson() {
    ObjectNode tree = Json.object().put("Uid", job).put("Status", status.wireName);
    if (status.open) {
      tree.put("done", doneTasks).put("running", runningTasks);
    }
    return tree;
  }
}
