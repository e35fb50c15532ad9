package org.saffronshore.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns machines to the cloud that are idle, drained, lost, faulty or about to be preempted, for
 * the duration of one leader term.
 */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** A boot that takes longer than this multiple of the type's boot time counts as failed. */
  private static final double FAILED_BOOT_FACTOR = 3;

  /** The time for which an idle machine is kept, as a share of the boot time of a new one. */
  private static final double IDLE_BOOT_SHARE = 0.25;

  private final EventLoop loop;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final BootTimes bootTimes;
  private final MachineReturns returns;

  ScaleIn(
      EventLoop loop,
      LeaderTerm term,
      Cluster cluster,
      BootTimes bootTimes,
      MachineReturns returns) {
    this.loop = loop;
    this.term = term;
    this.cluster = cluster;
    this.bootTimes = bootTimes;
    this.returns = returns;
  }

  /**
   * Requests the return of machines that are no longer needed, on-demand machines first and at most
   * as many as one request may name.
   */
  void returnUnneeded() {
    double now = loop.now();
    List<String> unneeded = new ArrayList<>();
    List<Machine> onDemandFirst = new ArrayList<>(cluster.machines());
    onDemandFirst.sort(Comparator.comparing(Machine::isSpot));
    SpareCapacity spare = new SpareCapacity(cluster, bootTimes, now, returns::isInFlight);
    for (Machine machine : onDemandFirst) {
      if (unneeded.size() == CloudClient.MAX_MACHINES_PER_RETURN) {
        break;
      }
      if (returns.isInFlight(machine)) {
        continue;
      }
      Optional<ReturnReason> reason = returnReason(machine, now, spare);
      if (reason.isPresent()) {
        LOG.debug("Returning machine: machine={} reason={}", machine.id(), reason.get());
        cluster.markReturning(machine);
        unneeded.add(machine.id());
        spare.remove(machine);
      }
    }
    if (!unneeded.isEmpty()) {
      returns.request(unneeded);
    }
  }

  /** Returns the reason to return a machine to the cloud, or empty if the machine is kept. */
  private Optional<ReturnReason> returnReason(Machine machine, double now, SpareCapacity spare) {
    double bootS = bootTimes.ofTypeS(machine.type());
    if (machine.hasFailed()) {
      return Optional.of(ReturnReason.FAILED);
    }
    if (!machine.wasEverUp()) {
      boolean bootFailed = now > machine.rentedAt() + FAILED_BOOT_FACTOR * bootS;
      return bootFailed && machine.isEmpty() && !cluster.isUnreconciled(machine)
          ? Optional.of(ReturnReason.NEVER_UP)
          : Optional.empty();
    }
    if (!machine.isUp()) {
      return Optional.of(ReturnReason.LOST);
    }
    if (cluster.unresponsiveMachines().isUnusable(machine)) {
      return Optional.of(ReturnReason.UNRESPONSIVE);
    }
    return machine.isEmpty() && machine.isReconciled()
        ? returnReasonIfEmpty(machine, now, bootS, spare)
        : Optional.empty();
  }

  private Optional<ReturnReason> returnReasonIfEmpty(
      Machine machine, double now, double bootS, SpareCapacity spare) {
    if (machine.isDraining()) {
      return Optional.of(ReturnReason.DRAINED);
    }
    if (machine.isQuarantined()) {
      return Optional.of(ReturnReason.QUARANTINED);
    }
    if (machine.hasPreemptionNotice()) {
      return Optional.of(ReturnReason.PREEMPTION_NOTICE);
    }
    // While the state service is unavailable, no jobs can be accepted and no tasks launched above
    // the launch watermark. Idle machines then do not show that fewer machines are needed.
    boolean idle =
        term.holdsStoreLease()
            && now > machine.idleSince() + IDLE_BOOT_SHARE * bootS
            && now > machine.rentedAt() + Consolidation.MIN_BILLED_S;
    return idle && !spare.needs(machine) ? Optional.of(ReturnReason.IDLE) : Optional.empty();
  }
}
