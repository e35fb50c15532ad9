package org.saffronshore.autoscaling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;

/**
 * The return requests of one term that are in flight. A failed request is repeated until it
 * succeeds or this controller is no longer the active leader.
 */
final class MachineReturns {
  private final EventLoop loop;
  private final CloudClient cloud;
  private final Metrics metrics;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final CapacityBackoff backoff;
  private final double retryDelayS;
  private final Set<String> inFlight = new HashSet<>();

  MachineReturns(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      Metrics metrics,
      LeaderTerm term,
      Cluster cluster,
      CapacityBackoff backoff) {
    this.loop = loop;
    this.cloud = cloud;
    this.metrics = metrics;
    this.term = term;
    this.cluster = cluster;
    this.backoff = backoff;
    this.retryDelayS = settings.heartbeatIntervalS() / 3;
  }

  /** Returns whether the return of this machine has been requested and has not succeeded yet. */
  boolean isInFlight(Machine machine) {
    return inFlight.contains(machine.id());
  }

  /**
   * Requests the return of machines.
   *
   * @param machines ids of at most {@link CloudClient#MAX_MACHINES_PER_RETURN} machines
   */
  void request(List<String> machines) {
    inFlight.addAll(machines);
    send(machines);
  }

  private void send(List<String> machines) {
    cloud.returnMachines(machines, succeeded -> onReturnResult(machines, succeeded));
  }

  private void onReturnResult(List<String> machines, boolean succeeded) {
    if (succeeded) {
      inFlight.removeAll(machines);
      metrics.increment(Metrics.Counter.MACHINES_RETURNED, machines.size());
      machines.forEach(this::onMachineReturned);
    } else if (term.isActive()) {
      loop.schedule(retryDelayS, () -> send(machines));
    } else {
      // The next leader may have launched tasks on these machines in the meantime, so it decides
      // whether they are returned.
      inFlight.removeAll(machines);
    }
  }

  private void onMachineReturned(String id) {
    Machine machine = cluster.machine(id);
    if (machine != null) {
      backoff.onAvailable(machine.kind());
      cluster.machineRemoved(machine, "returned");
    }
  }
}
