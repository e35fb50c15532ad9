package org.saffronshore.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * The status of a controller as the administration API shows it.
 *
 * @param node the name of this controller
 * @param leading whether this controller may currently act as the leader
 * @param leaderNode the name of the leader, or null while no leader is known
 * @param term the latest term that this controller led, or 0 if it has led none
 * @param stateServiceAvailable whether the state service responds to this controller
 * @param cluster the counts that only a leader has; empty on other controllers
 */
public record ControllerStatus(
    String node,
    boolean leading,
    @Nullable String leaderNode,
    long term,
    boolean stateServiceAvailable,
    Optional<ClusterStatus> cluster) {

  /**
   * The numbers of jobs and machines that a leader manages.
   *
   * @param unreconciledMachines the number of machines that may still hold tasks of earlier terms
   * @param waitingJobs the number of jobs with at least one unfinished dependency
   */
  public record ClusterStatus(
      int openJobs, int machines, int unreconciledMachines, long waitingJobs) {}

  /** Returns the JSON form in which the status is sent. */
  public ObjectNode toJson() {
    ObjectNode tree =
        Json.object()
            .put("node", node)
            .put("leading", leading)
            .put("leader", leaderNode)
            .put("term", term)
            .put("state_serves", stateServiceAvailable);
    cluster.ifPresent(
        counts ->
            tree.put("open_jobs", counts.openJobs())
                .put("machines", counts.machines())
                .put("machines_unaccounted", counts.unreconciledMachines())
                .put("jobs_waiting_for_others", counts.waitingJobs()));
    return tree;
  }
}
