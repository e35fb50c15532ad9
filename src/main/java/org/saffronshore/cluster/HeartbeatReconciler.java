package org.saffronshore.cluster;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what a worker's message says of its machine into the cluster: lease, epoch, preemption
 * notice and fencing token. Its tasks are left to {@link TaskStatusReconciler}.
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

  /** What to do when something has happened that may let a task be placed. */
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
   * Takes a heartbeat that the worker sent by itself, and the response to which renews its lease.
   *
   * @return the machine, or null when it was removed
   */
  @Nullable Machine heartbeatReceived(Heartbeat heartbeat) {
    if (machines.isRemoved(heartbeat.machine())) {
      return null;
    }
    Machine machine = machines.getOrCreate(heartbeat.machine());
    double now = loop.now();
    machine.lease().heartbeatReceived(machine.epochs().isNewest(heartbeat), now);
    machine.describe(heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    MachineLifecycle.setAddress(machine, heartbeat.address());
    if (machine.epochs().recordHeartbeat(heartbeat)) {
      machine.health().countSilenceFrom(now);
    }
    apply(machine, heartbeat);
    return machine;
  }

  /** Takes the status in a worker's response to a direct command, which renews no lease. */
  void directStatusReceived(Machine machine, Heartbeat status) {
    if (!machines.contains(machine)) {
      return;
    }
    // A worker that reaches no controller still responds to commands. That does not make it one to
    // rely on: its lease runs out. So only the first status counts, of a machine that is about to
    // find this leader.
    if (!machine.health().wasEverHeard()) {
      machine.health().countSilenceFrom(loop.now());
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
    machine.lease().newestMessageReceived(loop.now());
    if (!machine.isUp()) {
      markUp(machine);
    }
    boolean noticedNow = recordPreemptionNotice(machine, heartbeat.preemptionNoticeS());
    boolean reconciledNow = !machine.isReconciled() && heartbeat.fencingToken() >= term;
    if (reconciledNow) {
      unresponsiveMachines.markResponsive(machine);
    }
    if ((machine.isReconciled() || reconciledNow) && !machine.registryEntry().isRegistered()) {
      registry.register(machine);
    }
    // Most heartbeats say nothing new, and there are hundreds in a second.
    if (reconciledNow || noticedNow || !machine.tasks().isUpToDateWith(heartbeat.tasks())) {
      applyChanges(machine, heartbeat, noticedNow, reconciledNow);
    }
    commandQueue.markDueIfHasCommands(machine);
  }

  private void applyChanges(
      Machine machine, Heartbeat heartbeat, boolean noticedNow, boolean reconciledNow) {
    taskStatuses.apply(machine, heartbeat.tasks());
    Double noticeS = heartbeat.preemptionNoticeS();
    if (noticedNow && noticeS != null) {
      attempts.handlePreemptionNotice(machine, noticeS);
    }
    if (reconciledNow) {
      reconcile(machine, heartbeat);
    }
    if (machine.isReconciled()) {
      taskStatuses.stopDuplicates(machine);
    }
    machine.tasks().updateIdleSince(loop.now());
  }

  /** The machine knows this term: what it shows is all that it holds. */
  private void reconcile(Machine machine, Heartbeat heartbeat) {
    LOG.debug(
        "Machine reconciled: machine={} term={} epoch={} sequence={} tasks={}",
        machine.id(),
        heartbeat.fencingToken(),
        heartbeat.epoch(),
        heartbeat.sequence(),
        heartbeat.tasks());
    machine.reconcile();
    reconciliation.remove(machine);
    onChange.run();
  }

  /** Everything that the machine held in an earlier epoch is not there any more. */
  private void beginEpoch(Machine machine, long epoch) {
    double now = loop.now();
    boolean hadEpoch = machine.epochs().epoch() > 0;
    if (hadEpoch && !machine.isEmpty()) {
      LOG.debug(
          "New worker epoch ends attempts: machine={} epoch={} tasks={}",
          machine.id(),
          epoch,
          machine.tasks().ids());
    }
    machine.tasks().attemptsCopy().forEach(attempts::end);
    machine.clearExited();
    // Its lease ran out although its heartbeats were responded to: it may receive nothing.
    double leaseRanUntil =
        machine.lease().previouslyRenewedAt() + Settings.minLocalDuration(settings.workerLeaseS());
    if (hadEpoch && now < leaseRanUntil && !machine.health().isUnresponsive()) {
      unresponsiveMachines.markUnresponsive(machine);
    }
    machine.epochs().begin(epoch);
    // Whatever renewed its lease last, an epoch that is new here may have begun a moment ago, with
    // a lease of its own from then on.
    machine.lease().mayBeRenewedAt(now);
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

  /** Takes a notice that the cloud will take the machine back; true when it is the first one. */
  private boolean recordPreemptionNotice(Machine machine, @Nullable Double noticeS) {
    if (noticeS == null) {
      return false;
    }
    boolean first = !machine.hasPreemptionNotice();
    if (first) {
      LOG.debug("Preemption notice: machine={} notice_s={}", machine.id(), noticeS);
      onChange.run();
    }
    machine.preemptionNoticed(loop.now() + noticeS);
    return first;
  }
}
