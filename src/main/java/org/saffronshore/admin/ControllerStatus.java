package org.saffronshore.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * The status of a controller as operators see it.
 *
 * @param node the controller's name
 * @param leading whether it may act as the leader at this moment
 * @param leaderNode the name of the leader; null while none is known
 * @param term the latest term that this controller led; 0 for none
 * @param stateServiceAvailable whether the state service responds to this controller
 * @param cluster what a leader manages; empty on other controllers
 */
public record ControllerStatus(
    String node,
    boolean leading,
    @Nullable String leaderNode,
    long term,
    boolean stateServiceAvailable,
    Optional<ClusterStatus> cluster) {

  /**
   * How much a leader manages.
   *
   * @param unreconciledMachines machines that may still hold tasks of earlier terms
   * @param waitingJobs jobs of which a dependency is not done yet
   */
  public record ClusterStatus(
      int openJobs, int machines, int unreconciledMachines, long waitingJobs) {}

  /** The form in which it is sent. */
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
