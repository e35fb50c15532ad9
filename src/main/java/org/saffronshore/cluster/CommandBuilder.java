package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.List;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;

/**
 * Which commands are due for a machine: launches, stops, and the exited attempts that its worker
 * may forget.
 */
final class CommandBuilder {
  private static final int MAX_COMMANDS_PER_MESSAGE = 400;

  private final EventLoop loop;
  private final Settings settings;
  private final JobTable jobs;

  CommandBuilder(EventLoop loop, Settings settings, JobTable jobs) {
    this.loop = loop;
    this.settings = settings;
    this.jobs = jobs;
  }

  /**
   * Whether there is anything to be sent to the machine. One that does not know this term yet, or
   * does not show that it receives anything, is always sent something, if only an empty batch.
   */
  boolean hasCommands(Machine machine) {
    if (!machine.isReconciled() || machine.health().isUnresponsive()) {
      return true;
    }
    for (Attempt attempt : machine.attempts()) {
      if ((isLaunchDue(attempt) && !attempt.isLaunchInFlight()) || isStopDue(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Commands for a direct batch; adds the attempts that it launches to {@code launches}. */
  List<Command> directCommands(Machine machine, List<Attempt> launches) {
    List<Command> commands = new ArrayList<>();
    if (machine.isReconciled()) {
      addCommands(machine, commands, launches, true);
    }
    return commands;
  }

  /**
   * Commands for the response to a heartbeat: stops, what may be forgotten, and launches whose
   * delivery is unknown.
   */
  List<Command> responseCommands(Machine machine) {
    List<Command> commands = new ArrayList<>();
    if (machine.isReconciled()) {
      addCommands(machine, commands, new ArrayList<>(), false);
    }
    return commands;
  }

  private void addCommands(
      Machine machine, List<Command> commands, List<Attempt> launches, boolean direct) {
    for (Attempt attempt : machine.attempts()) {
      if (commands.size() >= MAX_COMMANDS_PER_MESSAGE) {
        return;
      }
      if (attempt.isLaunching()) {
        addLaunch(attempt, commands, launches, direct);
      } else if (isStopDue(attempt)) {
        commands.add(Command.stop(attempt.task(), attempt.number(), attempt.gracePeriodS()));
        attempt.stopSent(loop.now());
      }
    }
    for (Attempt attempt : machine.tasks().exited()) {
      if (commands.size() >= MAX_COMMANDS_PER_MESSAGE) {
        return;
      }
      if (isReapable(attempt)) {
        commands.add(Command.reap(attempt.task(), attempt.number()));
      }
    }
  }

  /**
   * Adds the launch of an attempt that no heartbeat has shown yet. A launch whose delivery is
   * unknown is repeated until the worker shows it, also when it is not wanted any more: a worker
   * that knows that the attempt has ended will not start it when the lost copy arrives.
   */
  private void addLaunch(
      Attempt attempt, List<Command> commands, List<Attempt> launches, boolean direct) {
    if (!isLaunchDue(attempt)) {
      return;
    }
    if (!direct && attempt.machine().delivery().isFailing() && !attempt.isLaunchInFlight()) {
      // The worker reaches this controller, perhaps through a peer, and cannot be reached: the
      // responses to its heartbeats carry launches.
      attempt.launchSentWithoutConfirmation();
    }
    if (direct ? attempt.isLaunchInFlight() : !attempt.isDeliveryUnknown()) {
      return;
    }
    commands.add(Command.launch(attempt.task(), attempt.number()));
    launches.add(attempt);
    if (attempt.stopping()) {
      commands.add(Command.stop(attempt.task(), attempt.number(), 0));
    }
  }

  /** Whether its launch may be sent, again or for the first time. */
  private boolean isLaunchDue(Attempt attempt) {
    if (!attempt.isLaunching()) {
      return false;
    }
    if (attempt.isLaunchSent()) {
      return true;
    }
    Job job = jobs.get(attempt.task().job());
    return job != null && job.isLaunchable(attempt.task().index());
  }

  private boolean isStopDue(Attempt attempt) {
    return attempt.isStopDue(loop.now(), settings.heartbeatIntervalS() * 2 / 3);
  }

  /** Whether the worker may forget an exited attempt: it cannot start anew, and its end is kept. */
  private boolean isReapable(Attempt attempt) {
    if (attempt.launchMayArrive()) {
      return false;
    }
    if (!attempt.isCompleted()) {
      return true;
    }
    Job job = jobs.get(attempt.task().job());
    return job == null || job.savedFinishedTasks().get(attempt.task().index());
  }
}
