package org.saffronshore.cluster;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Finds the machines whose heartbeats arrive and that receive nothing. */
public final class UnresponsiveMachineDetector {
  private static final Logger LOG = LoggerFactory.getLogger(UnresponsiveMachineDetector.class);

  /**
   * A machine that shows no sign of having received anything for so many heartbeat intervals counts
   * as unresponsive.
   */
  private static final double UNRESPONSIVE_AFTER_INTERVALS = 3;

  /** One that has been unresponsive for so many heartbeat intervals is of no use. */
  private static final double UNUSABLE_AFTER_INTERVALS = 2;

  /** When more machines than this seem unresponsive, it is this controller that is not heard. */
  private static final double MAX_UNRESPONSIVE_SHARE = 0.05;

  /** The same where that share is less than one would expect of single faults. */
  private static final int MIN_UNRESPONSIVE_LIMIT = 2;

  private final EventLoop loop;
  private final Settings settings;
  private final MachineTable machines;
  private final CommandQueue commandQueue;

  /** What to do when something has happened that may let a task be placed. */
  private final Runnable onChange;

  UnresponsiveMachineDetector(
      EventLoop loop,
      Settings settings,
      MachineTable machines,
      CommandQueue commandQueue,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.machines = machines;
    this.commandQueue = commandQueue;
    this.onChange = onChange;
  }

  /**
   * Looks for machines whose heartbeats arrive and that receive nothing: the term's token does not
   * show, or a launch does not happen. They get no new tasks, and are returned. Their tasks are
   * placed again when the cloud has confirmed that, or, in the term that launched them, with the
   * machine's next epoch: launches name the epoch, so none of ours can be executed in a later one.
   * An epoch that is new to this term proves nothing of what earlier leaders did: they may have
   * known it, and a launch of theirs may still arrive there as long as the machine does not know
   * our token. So that is not relied on.
   */
  public void detect() {
    double now = loop.now();
    double toleratedS = UNRESPONSIVE_AFTER_INTERVALS * settings.heartbeatIntervalS();
    for (Machine machine : machines.all()) {
      if (!machine.isUp() || machine.health().isUnresponsive() || machine.health().isSilent(now)) {
        continue;
      }
      boolean reconciliationOverdue =
          !machine.isReconciled()
              && machines.listeningTimeS(machine.lease().firstRenewedAt()) > toleratedS;
      if (reconciliationOverdue || hasOverdueLaunch(machine, toleratedS)) {
        markUnresponsive(machine);
      }
    }
  }

  private boolean hasOverdueLaunch(Machine machine, double toleratedS) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isLaunching()
          && attempt.isDeliveryUnknown()
          && machines.listeningTimeS(attempt.createdAt()) > toleratedS) {
        return true;
      }
    }
    return false;
  }

  void markUnresponsive(Machine machine) {
    LOG.debug("Machine unresponsive: machine={}", machine.id());
    machine.markUnresponsive(loop.now());
    onChange.run();
    commandQueue.markDue(machine);
  }

  /** There is proof that a message of ours has reached the machine. */
  void markResponsive(Machine machine) {
    if (machine.health().isUnresponsive()) {
      machine.health().markResponsive();
      onChange.run();
    }
  }

  /**
   * Whether a machine has been unresponsive for so long that it is of no use. Should many seem so,
   * then it is this controller that cannot be heard, and the machines are not to blame.
   */
  public boolean isUnusable(Machine machine) {
    if (!machine.health().isUnresponsive()
        || machines.listeningTimeS(machine.health().unresponsiveSince())
            < UNUSABLE_AFTER_INTERVALS * settings.heartbeatIntervalS()) {
      return false;
    }
    long unresponsive =
        machines.all().stream().filter(other -> other.health().isUnresponsive()).count();
    return unresponsive
        <= Math.max(MIN_UNRESPONSIVE_LIMIT, machines.all().size() * MAX_UNRESPONSIVE_SHARE);
  }
}
