package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;

/**
 * Batches of commands that go straight to the workers, one at a time for each machine, and what
 * became of them. The responses to heartbeats carry what could not be delivered so.
 */
final class CommandDispatcher {
  /** Each failure in a row adds this part of a heartbeat interval to the pause after it. */
  private static final double BACKOFF_DIVISOR = 6;

  private final EventLoop loop;
  private final Settings settings;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final AttemptLifecycle attempts;
  private final CommandBuilder commandBuilder;
  private final CommandQueue commandQueue;
  private final UnresponsiveMachineDetector unresponsiveMachines;
  private final HeartbeatReconciler heartbeats;

  CommandDispatcher(
      EventLoop loop,
      Settings settings,
      MachineTable machines,
      Reconciliation reconciliation,
      AttemptLifecycle attempts,
      CommandBuilder commandBuilder,
      CommandQueue commandQueue,
      UnresponsiveMachineDetector unresponsiveMachines,
      HeartbeatReconciler heartbeats) {
    this.loop = loop;
    this.settings = settings;
    this.machines = machines;
    this.reconciliation = reconciliation;
    this.attempts = attempts;
    this.commandBuilder = commandBuilder;
    this.commandQueue = commandQueue;
    this.unresponsiveMachines = unresponsiveMachines;
    this.heartbeats = heartbeats;
  }

  /** What to send to a machine now, or null. */
  @Nullable CommandBatch nextBatch(Machine machine) {
    if (!machines.contains(machine)
        || machine.address() == null
        || !machine.delivery().isReady(loop.now())
        || !commandBuilder.hasCommands(machine)
        || !isExpectedToRespond(machine)) {
      return null;
    }
    List<Attempt> launches = new ArrayList<>();
    List<Command> commands = commandBuilder.directCommands(machine, launches);
    launches.forEach(Attempt::launchSent);
    machine.delivery().batchSent();
    // A wrong guess of the epoch is harmless: nothing is executed, and the rejection tells the
    // right one.
    long epoch = Math.max(1, machine.epochs().epoch());
    return new CommandBatch(machine, epoch, commands, launches);
  }

  /**
   * An unreconciled machine that was not heard in this term is sent an empty batch, which asks for
   * its status: tasks of older jobs wait for what it holds.
   */
  private boolean isExpectedToRespond(Machine machine) {
    return machine.isUp()
        ? !machine.health().isSilent(loop.now())
        : reconciliation.isUnreconciled(machine);
  }

  /**
   * What became of a batch.
   *
   * @param status the worker's status in its response, or null without a response
   */
  void batchCompleted(CommandBatch batch, DeliveryOutcome outcome, @Nullable Heartbeat status) {
    Machine machine = batch.machine();
    CommandDelivery delivery = machine.delivery();
    delivery.batchCompleted();
    machine.invalidateView();
    batch.launches().forEach(attempt -> launchCompleted(attempt, outcome));
    if (status != null) {
      unresponsiveMachines.markResponsive(machine);
      heartbeats.directStatusReceived(machine, status);
    }
    boolean received =
        outcome == DeliveryOutcome.EXECUTED
            || (outcome == DeliveryOutcome.NOT_EXECUTED && status != null);
    if (received) {
      delivery.succeeded();
    } else {
      delivery.failed(loop.now(), settings.heartbeatIntervalS() / BACKOFF_DIVISOR);
    }
    if (status != null) {
      // Executed, or rejected, and yet the worker does not show it: it is not there.
      batch.launches().stream().filter(CommandDispatcher::cannotStart).forEach(attempts::end);
    }
    if (machines.contains(machine)) {
      commandQueue.markDueIfHasCommands(machine);
    }
  }

  private void launchCompleted(Attempt attempt, DeliveryOutcome outcome) {
    boolean neverSent = attempt.launchCompleted(outcome);
    if (neverSent && attempt.stopping() && attempt.isOnMachine()) {
      attempts.end(attempt);
    }
  }

  /** Whether no heartbeat has shown the attempt and no launch of it can arrive any more. */
  private static boolean cannotStart(Attempt attempt) {
    return attempt.isLaunching() && !attempt.launchMayArrive() && attempt.isOnMachine();
  }

  /** Queues machines whose batches failed and may be repeated. */
  void requeueRetryable() {
    for (Machine machine : machines.all()) {
      if (machine.isUp() && !machine.delivery().isInFlight()) {
        commandQueue.markDueIfHasCommands(machine);
      }
    }
  }
}
