package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How machines come and go: from the registry of earlier terms, from the cloud's responses and
 * lists, and by the expiry of their workers' leases.
 */
final class MachineLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

  /** A list of the cloud may be older than the usual lag, and older than the one before it. */
  private static final double MAX_LIST_AGE_LAGS = 2.25;

  /** A lease counts as expired this part of a heartbeat interval after it must have run out. */
  private static final double EXPIRY_SLACK_DIVISOR = 30;

  private final EventLoop loop;
  private final Settings settings;
  private final double termStartedAt;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final AttemptLifecycle attempts;
  private final MachineRegistry registry;
  private final CommandQueue commandQueue;

  /** What to do when something has happened that may let a task be placed. */
  private final Runnable onChange;

  MachineLifecycle(
      EventLoop loop,
      Settings settings,
      double termStartedAt,
      MachineTable machines,
      Reconciliation reconciliation,
      AttemptLifecycle attempts,
      MachineRegistry registry,
      CommandQueue commandQueue,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.termStartedAt = termStartedAt;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.attempts = attempts;
    this.registry = registry;
    this.commandQueue = commandQueue;
    this.onChange = onChange;
  }

  /**
   * A machine that an earlier leader gave tasks to, or may have. The longer ago it is sure to have
   * existed, the sooner a list of the cloud that lacks it proves that it does not exist any more.
   *
   * @param possibleTasks all that it can hold, or null when that may be anything
   */
  void addRegistered(String id, double ageS, @Nullable Set<TaskId> possibleTasks) {
    Machine machine = machines.getOrCreate(id);
    machine.registryEntry().loaded(possibleTasks != null);
    machine.possibleTasks().loaded(possibleTasks);
    machine.recordExistence(loop.now() - Math.max(0, ageS));
    LOG.debug(
        "Machine registered by an earlier term: machine={} age_s={} possible_tasks={}",
        id,
        Math.round(ageS),
        possibleTasks == null ? "anything" : possibleTasks);
    if (!machine.isReconciled()) {
      machine.lease().recordPossibleRenewal(termStartedAt);
      reconciliation.add(machine);
      commandQueue.markDue(machine);
    }
  }

  /** The cloud has responded to a rental request with this machine. */
  void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    if (machines.isRemoved(id)) {
      return;
    }
    Machine machine = machines.getOrCreate(id);
    machine.updateDescription(type, zone, spot);
    machine.rentedAt(requestedAt);
  }

  /** One line of the cloud's list. */
  void machineListed(ListedMachine listed) {
    String id = listed.id();
    if (machines.isRemoved(id)) {
      return;
    }
    Machine machine = machines.get(id);
    if (machine == null) {
      machine = machines.getOrCreate(id);
      machine.rentedAt(loop.now() - listed.rentedForS());
      LOG.debug(
          "Machine found in the cloud's list: machine={} type={} zone={} spot={}",
          id,
          listed.type(),
          listed.zone(),
          listed.spot());
    }
    machine.updateDescription(listed.type(), listed.zone(), listed.spot());
    setAddress(machine, listed.address());
    if (reconciliation.isUnreconciled(machine) && !machine.isUp()) {
      commandQueue.markDue(machine);
    }
    if (listed.failed() && !machine.hasFailed()) {
      // A failed machine has stopped of its own accord: nothing on it runs, now or later.
      LOG.debug("Machine failed: machine={}", id);
      machine.markFailed();
      endAllAttempts(machine);
    }
  }

  /** Takes the first address that is known of a machine; it never changes. */
  static void setAddress(Machine machine, @Nullable String address) {
    if (machine.address() == null && address != null) {
      try {
        machine.setAddress(Address.parse("Address", address));
      } catch (InvalidFieldException e) {
        LOG.warn("Machine address invalid: machine={} reason={}", machine.id(), e.getMessage());
      }
    }
  }

  /**
   * Removes what a complete list of the cloud lacks. A list may be up to twice the usual lag old,
   * and older than the one before it, so only of machines that were known well before the request
   * can it prove that they do not exist any more.
   */
  void removeUnlisted(Set<String> ids, double requestedAt) {
    double knownBefore =
        requestedAt
            - Settings.maxLocalDuration(
                MAX_LIST_AGE_LAGS * settings.cloudListLagS() + settings.heartbeatIntervalS());
    for (Machine machine : new ArrayList<>(machines.all())) {
      if (!ids.contains(machine.id()) && machine.knownToExistSince() < knownBefore) {
        machineRemoved(machine, "not listed by the cloud");
      }
    }
  }

  /** The machine does not exist any more, and nothing on it. */
  void machineRemoved(Machine machine, String reason) {
    LOG.debug(
        "Machine removed: machine={} reason={} tasks={}",
        machine.id(),
        reason,
        machine.tasks().taskIds());
    endAllAttempts(machine);
    machines.remove(machine);
    registry.machineRemoved(machine);
  }

  /** Nothing runs on the machine any more. */
  private void endAllAttempts(Machine machine) {
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      attempts.end(attempt);
    }
    machine.allTasksEnded(loop.now());
    reconciliation.remove(machine);
    onChange.run();
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  void markReturning(Machine machine) {
    machine.markReturning();
    onChange.run();
  }

  /**
   * Releases every machine whose worker's lease must have run out since the last response that may
   * have renewed it.
   */
  void expireLeases() {
    double now = loop.now();
    for (Machine machine : machines.all()) {
      boolean mayHoldTasks = machine.isUp() || reconciliation.isUnreconciled(machine);
      if (mayHoldTasks && now > leaseExpiresAt(machine)) {
        LOG.debug(
            "Worker lease expired: machine={} epoch={} tasks={}",
            machine.id(),
            machine.epochs().epoch(),
            machine.tasks().taskIds());
        machine.leaseExpired();
        endAllAttempts(machine);
      }
    }
  }

  private double leaseExpiresAt(Machine machine) {
    return machine.lease().renewedAt()
        + Settings.maxLocalDuration(settings.workerLeaseS())
        + settings.heartbeatIntervalS() / EXPIRY_SLACK_DIVISOR;
  }
}
