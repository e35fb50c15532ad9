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
 * Adds, updates and removes machines according to the registry of earlier terms, the cloud's
 * responses and machine lists, and the expiry of the workers' leases.
 */
final class MachineLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLifecycle.class);

  /**
   * Maximum age of a machine list, in multiples of the usual lag of the cloud: a list may be older
   * than the usual lag, and older than the list received before it.
   */
  private static final double MAX_LIST_AGE_LAGS = 2.25;

  /**
   * The heartbeat interval divided by this number is the additional delay after which a lease that
   * must have expired is treated as expired.
   */
  private static final double EXPIRY_SLACK_DIVISOR = 30;

  private final EventLoop loop;
  private final Settings settings;
  private final double termStartedAt;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final AttemptLifecycle attempts;
  private final MachineRegistry registry;
  private final CommandQueue commandQueue;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  /** Creates the life cycle of the machines at the start of a term. */
  MachineLifecycle(
      EventLoop loop,
      Settings settings,
      MachineTable machines,
      Reconciliation reconciliation,
      AttemptLifecycle attempts,
      MachineRegistry registry,
      CommandQueue commandQueue,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.termStartedAt = loop.now();
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.attempts = attempts;
    this.registry = registry;
    this.commandQueue = commandQueue;
    this.onChange = onChange;
  }

  /**
   * Adds a machine on which an earlier leader launched tasks or may have done so.
   *
   * @param ageS how long ago the machine is certain to have existed, in seconds. The greater the
   *     age, the earlier a machine list without the machine proves that it no longer exists
   * @param possibleTasks all tasks that the machine may hold, or null if it may hold any task
   */
  void addRegistered(String id, double ageS, @Nullable Set<TaskId> possibleTasks) {
    Machine machine = machines.getOrCreate(id);
    machine.existence().confirm();
    machine.registryEntry().loaded(possibleTasks != null);
    machine.possibleTasks().loaded(possibleTasks);
    machine.existence().knownAt(loop.now() - Math.max(0, ageS));
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

  /** Adds a machine that the cloud has granted in response to a rental request. */
  void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    if (machines.isRemoved(id)) {
      return;
    }
    Machine machine = machines.getOrCreate(id);
    machine.updateDescription(type, zone, spot);
    machine.existence().confirm();
    machine.rentedAt(requestedAt);
  }

  /** Applies one entry of the cloud's machine list. */
  void machineListed(ListedMachine listed) {
    String id = listed.id();
    if (machines.isRemoved(id)) {
      return;
    }
    boolean known = machines.get(id) != null;
    Machine machine = machines.getOrCreate(id);
    if (!machine.isExistenceConfirmed()) {
      machine.existence().confirm();
      machine.rentedAt(loop.now() - listed.rentedForS());
    }
    if (!known) {
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
      // A failed machine has already stopped: nothing runs on it, now or later.
      LOG.debug("Machine failed: machine={}", id);
      machine.markFailed();
      endAllAttempts(machine);
    }
  }

  /** Sets the address of a machine unless it is known already; the address never changes. */
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
   * Removes machines that are missing from a complete machine list of the cloud. A list may be up
   * to twice the usual lag old, and older than the list received before it. It therefore proves
   * that a machine no longer exists only if the machine was known well before the list was
   * requested.
   */
  void removeUnlisted(Set<String> ids, double requestedAt) {
    double knownBefore =
        requestedAt
            - Settings.maxLocalDuration(
                MAX_LIST_AGE_LAGS * settings.cloudListLagS() + settings.heartbeatIntervalS());
    for (Machine machine : new ArrayList<>(machines.all())) {
      if (!ids.contains(machine.id()) && machine.existence().knownSince() < knownBefore) {
        machineRemoved(machine, "not listed by the cloud");
      }
    }
  }

  /** Removes a machine that no longer exists, and ends all attempts on it. */
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

  /** Ends all attempts on a machine on which nothing runs any more. */
  private void endAllAttempts(Machine machine) {
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      attempts.end(attempt);
    }
    machine.allTasksEnded(loop.now());
    reconciliation.remove(machine);
    onChange.run();
  }

  /** Records that the machine's return to the cloud was requested; it gets no new tasks. */
  void markReturning(Machine machine) {
    machine.markReturning();
    onChange.run();
  }

  /**
   * Ends all attempts of every machine whose worker's lease must have expired, counted from the
   * last response that may have renewed it.
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
