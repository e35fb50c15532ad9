package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;

/**
 * Creates the batches of commands that are sent directly to workers, one at a time per machine, and
 * processes their outcomes. Commands that cannot be delivered directly are sent in the responses to
 * heartbeats.
 */
final class CommandDispatcher {
  /** Each consecutive failure extends the backoff by the heartbeat interval divided by this. */
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

  /** Returns the batch to send to the machine now, or null if there is nothing to send. */
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
    launches.forEach(attempt -> attempt.launch().sentDirectly());
    machine.delivery().batchSent();
    // The epoch is a guess if the current one is not known. A wrong guess is harmless: the worker
    // executes nothing, and its rejection contains the right epoch.
    long epoch = Math.max(1, machine.epochs().epoch());
    return new CommandBatch(machine, epoch, machine.fencingToken(), commands, launches);
  }

  /**
   * Returns whether the machine's worker can be expected to respond to a batch. An unreconciled
   * machine that was not heard from in this term counts too: it is sent an empty batch to obtain
   * its status, because tasks of older jobs have to wait until it is known what the machine holds.
   */
  private boolean isExpectedToRespond(Machine machine) {
    return machine.isUp()
        ? !machine.health().isSilent(loop.now())
        : reconciliation.isUnreconciled(machine);
  }

  /**
   * Records the outcome of a batch.
   *
   * @param status the worker's status in its response, or null if there was no response
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
      batch.launches().stream()
          .filter(CommandDispatcher::shouldBeShown)
          .forEach(this::handleNotShown);
    }
    if (machines.contains(machine)) {
      commandQueue.markDueIfHasCommands(machine);
    }
  }

  private void launchCompleted(Attempt attempt, DeliveryOutcome outcome) {
    boolean neverSent = attempt.launch().completed(outcome, !attempt.isLaunching());
    if (neverSent && attempt.isStopping() && attempt.isOnMachine()) {
      attempts.end(attempt);
    }
  }

  /**
   * Returns whether the worker has executed or rejected each launch of the attempt, and no status
   * has shown the attempt.
   */
  private static boolean shouldBeShown(Attempt attempt) {
    return attempt.isLaunching() && !attempt.launch().mayArrive() && attempt.isOnMachine();
  }

  /**
   * Handles an attempt whose launches were answered and that no status shows. If they were rejected
   * it cannot start any more. If one was executed, the worker has lost the attempt since.
   */
  private void handleNotShown(Attempt attempt) {
    if (attempt.launch().isSent()) {
      attempts.lost(attempt);
    } else {
      attempts.end(attempt);
    }
  }

  /** Queues the machines whose commands are still due, so that failed batches are repeated. */
  void requeueRetryable() {
    for (Machine machine : machines.all()) {
      if (machine.isUp() && !machine.delivery().isInFlight()) {
        commandQueue.markDueIfHasCommands(machine);
      }
    }
  }
}
