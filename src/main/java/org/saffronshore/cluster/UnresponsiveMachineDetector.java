package org.saffronshore.cluster;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects machines whose heartbeats arrive but that seem to receive nothing from this leader. */
public final class UnresponsiveMachineDetector {
  private static final Logger LOG = LoggerFactory.getLogger(UnresponsiveMachineDetector.class);

  /**
   * Number of heartbeat intervals without evidence that the machine has received anything, after
   * which it is unresponsive.
   */
  private static final double UNRESPONSIVE_AFTER_INTERVALS = 3;

  /** Number of heartbeat intervals after which an unresponsive machine is unusable. */
  private static final double UNUSABLE_AFTER_INTERVALS = 2;

  /**
   * Maximum share of unresponsive machines. If more machines seem unresponsive, the fault is that
   * this controller cannot reach them.
   */
  private static final double MAX_UNRESPONSIVE_SHARE = 0.05;

  /**
   * Minimum number of unresponsive machines that are tolerated, for clusters so small that {@link
   * #MAX_UNRESPONSIVE_SHARE} of them is less than what individual machine faults can account for.
   */
  private static final int MIN_UNRESPONSIVE_LIMIT = 2;

  private final EventLoop loop;
  private final Settings settings;
  private final MachineTable machines;
  private final CommandQueue commandQueue;

  /** Called after each change that may allow a task to be placed. */
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
   * Marks as unresponsive the machines whose heartbeats arrive but that seem to receive nothing:
   * either they do not show this term's fencing token, or a launch does not take effect. Such
   * machines get no new tasks and are returned. Their tasks are placed again when the cloud has
   * confirmed the return or, in the term that launched them, when the machine begins its next
   * epoch: a launch names an epoch, so no launch of this leader can be executed in a later one.
   *
   * <p>An epoch that is new to this term proves nothing about the launches of earlier leaders. They
   * may have known that epoch, and a launch of theirs may still arrive in it as long as the machine
   * does not know this term's fencing token. A new epoch is therefore not taken as proof that the
   * tasks of earlier leaders are gone.
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
          && attempt.launch().isOutcomeUnknown()
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

  /** Records proof that a message of this leader has reached the machine. */
  void markResponsive(Machine machine) {
    if (machine.health().isUnresponsive()) {
      machine.health().markResponsive();
      onChange.run();
    }
  }

  /**
   * Returns whether a machine has been unresponsive for so long that it is unusable. If many
   * machines seem unresponsive, the fault is that this controller cannot reach them, and none is
   * unusable.
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
