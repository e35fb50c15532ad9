package org.saffronshore.cluster;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies a worker's messages to the state of its machine: lease, epoch, preemption notice and
 * fencing token. The tasks in a message are applied by {@link TaskStatusReconciler}.
 */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  private final EventLoop loop;
  private final Settings settings;
  private final long term;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final AttemptLifecycle attempts;
  private final TaskStatusReconciler taskStatuses;
  private final MachineRegistry registry;
  private final UnresponsiveMachineDetector unresponsiveMachines;
  private final CommandQueue commandQueue;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  HeartbeatReconciler(
      EventLoop loop,
      Settings settings,
      long term,
      MachineTable machines,
      Reconciliation reconciliation,
      AttemptLifecycle attempts,
      TaskStatusReconciler taskStatuses,
      MachineRegistry registry,
      UnresponsiveMachineDetector unresponsiveMachines,
      CommandQueue commandQueue,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.attempts = attempts;
    this.taskStatuses = taskStatuses;
    this.registry = registry;
    this.unresponsiveMachines = unresponsiveMachines;
    this.commandQueue = commandQueue;
    this.onChange = onChange;
  }

  /**
   * Applies a heartbeat, as opposed to a status in a response to a command. The response to the
   * heartbeat renews the worker's lease.
   *
   * @return the machine, or null if it no longer exists
   */
  @Nullable Machine heartbeatReceived(Heartbeat heartbeat) {
    if (machines.isGone(heartbeat.machine())) {
      return null;
    }
    Machine machine = machines.getOrCreate(heartbeat.machine());
    double now = loop.now();
    machine.lease().heartbeatReceived(machine.epochs().isNewest(heartbeat), now);
    machine.updateDescription(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    MachineLifecycle.setAddress(machine, heartbeat.address());
    if (machine.epochs().recordHeartbeat(heartbeat)) {
      machine.health().restartSilenceTimer(now);
    }
    apply(machine, heartbeat);
    return machine;
  }

  /**
   * Applies the status in a worker's response to a direct command. Unlike a heartbeat, the exchange
   * does not renew the worker's lease.
   */
  void directStatusReceived(Machine machine, Heartbeat status) {
    if (!machines.contains(machine) || machines.isGone(machine.id())) {
      return;
    }
    // A worker that cannot reach any controller still responds to commands, but its lease will
    // expire, so its responses must not end its silence. Only the first status of a machine that
    // was never heard from in this term counts: such a machine is about to find this leader.
    if (!machine.health().wasEverHeardFrom()) {
      machine.health().restartSilenceTimer(loop.now());
    }
    apply(machine, status);
  }

  private void apply(Machine machine, Heartbeat heartbeat) {
    if (!machine.epochs().isCurrent(heartbeat)) {
      return;
    }
    if (heartbeat.epoch() > machine.epochs().epoch()) {
      beginEpoch(machine, heartbeat.epoch());
    }
    machine.epochs().advanceTo(heartbeat.sequence());
    machine.delivery().tokenConfirmed(heartbeat.fencingToken());
    machine.lease().newestMessageReceived(loop.now());
    if (!machine.isUp()) {
      markUp(machine);
    }
    boolean firstNotice = recordPreemptionNotice(machine, heartbeat.preemptionNoticeS());
    boolean newlyReconciled = !machine.isReconciled() && heartbeat.fencingToken() >= term;
    if (newlyReconciled) {
      unresponsiveMachines.markResponsive(machine);
    }
    if ((machine.isReconciled() || newlyReconciled) && !machine.registryEntry().isRegistered()) {
      registry.requestRegistration(machine);
    }
    // Most of the hundreds of heartbeats per second contain no changes, so skip those.
    if (newlyReconciled || firstNotice || !machine.tasks().isUpToDateWith(heartbeat.tasks())) {
      applyChanges(machine, heartbeat, firstNotice, newlyReconciled);
    }
    attempts.endFenced(machine);
    commandQueue.markDueIfHasCommands(machine);
  }

  private void applyChanges(
      Machine machine, Heartbeat heartbeat, boolean firstNotice, boolean newlyReconciled) {
    if (newlyReconciled) {
      reconcile(machine, heartbeat);
    }
    taskStatuses.apply(machine, heartbeat.tasks());
    Double noticeS = heartbeat.preemptionNoticeS();
    if (firstNotice && noticeS != null) {
      attempts.handlePreemptionNotice(machine, noticeS);
    }
    if (machine.isReconciled()) {
      taskStatuses.resolveDuplicates(machine);
    }
    machine.tasks().updateIdleSince(loop.now());
  }

  /**
   * Marks the machine as reconciled: it has shown the fencing token of this term, so the tasks in
   * its heartbeat are all that it holds.
   */
  private void reconcile(Machine machine, Heartbeat heartbeat) {
    LOG.debug(
        "Machine reconciled: machine={} term={} epoch={} sequence={} tasks={}",
        machine.id(),
        heartbeat.fencingToken(),
        heartbeat.epoch(),
        heartbeat.sequence(),
        heartbeat.tasks());
    machine.markReconciled();
    reconciliation.remove(machine);
    onChange.run();
  }

  /** Begins a new worker epoch: nothing that the machine held in an earlier epoch still exists. */
  private void beginEpoch(Machine machine, long epoch) {
    double now = loop.now();
    boolean hadEpoch = machine.epochs().epoch() > 0;
    if (hadEpoch && !machine.isEmpty()) {
      LOG.debug(
          "New worker epoch ends attempts: machine={} epoch={} tasks={}",
          machine.id(),
          epoch,
          machine.tasks().taskIds());
    }
    machine.tasks().attemptsCopy().forEach(attempts::end);
    machine.clearExited();
    // The worker began a new epoch, so its lease expired, although a response that should have
    // renewed it was sent recently. The machine may be receiving no messages at all.
    double leaseValidUntil =
        machine.lease().previouslyRenewedAt() + Settings.minLocalDuration(settings.workerLeaseS());
    if (hadEpoch && now < leaseValidUntil && !machine.health().isUnresponsive()) {
      unresponsiveMachines.markUnresponsive(machine);
    }
    machine.epochs().begin(epoch);
    // An epoch that is new to this leader may have begun a moment ago, and the lease runs from
    // then, regardless of when it was last renewed.
    machine.lease().recordPossibleRenewal(now);
  }

  private void markUp(Machine machine) {
    double now = loop.now();
    machine.markUp(now);
    onChange.run();
    LOG.debug(
        "Machine up: machine={} duration_s={} type={} zone={} spot={}",
        machine.id(),
        Math.round(now - machine.rentedAt()),
        machine.type(),
        machine.zone(),
        machine.isSpot());
  }

  /**
   * Records a notice that the cloud will reclaim the machine.
   *
   * @param noticeS seconds until the machine is reclaimed, or null if there is no notice
   * @return whether this is the first notice for the machine
   */
  private boolean recordPreemptionNotice(Machine machine, @Nullable Double noticeS) {
    if (noticeS == null) {
      return false;
    }
    boolean first = !machine.hasPreemptionNotice();
    if (first) {
      LOG.debug("Preemption notice: machine={} notice_s={}", machine.id(), noticeS);
      onChange.run();
    }
    machine.preemptionNoticeReceived(loop.now() + noticeS);
    return first;
  }
}
