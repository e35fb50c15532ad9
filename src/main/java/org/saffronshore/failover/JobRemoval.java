package org.saffronshore.failover;

import org.saffronshore.cluster.Cluster;

/**
 * Removes jobs that are no longer open from the cluster and from the stored records of their tasks.
 */
final class JobRemoval {
  private final Cluster cluster;
  private final LaunchWatermarkStore launchWatermarks;
  private final FinishedTasksStore finishedTasks;

  JobRemoval(
      Cluster cluster, LaunchWatermarkStore launchWatermarks, FinishedTasksStore finishedTasks) {
    this.cluster = cluster;
    this.launchWatermarks = launchWatermarks;
    this.finishedTasks = finishedTasks;
  }

  void remove(String job) {
    cluster.removeJob(job);
    launchWatermarks.remove(job);
    finishedTasks.remove(job);
  }
}
