package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.List;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.wire.Command;

/**
 * Builds the commands that are due for a machine: launches, stops, and reaps of exited attempts
 * that its worker may forget. They are to be sent with the machine's current fencing token.
 */
final class CommandBuilder {
  private static final int MAX_COMMANDS_PER_MESSAGE = 400;

  private final EventLoop loop;
  private final Settings settings;
  private final JobTable jobs;
  private final FencingTokens tokens;
  private final AttemptReaper reaper;

  CommandBuilder(
      EventLoop loop,
      Settings settings,
      JobTable jobs,
      FencingTokens tokens,
      AttemptReaper reaper) {
    this.loop = loop;
    this.settings = settings;
    this.jobs = jobs;
    this.tokens = tokens;
    this.reaper = reaper;
  }

  /**
   * Returns whether there is anything to send to the machine. A machine that does not know this
   * term yet, that shows no sign of receiving messages, or that needs only a larger fencing token,
   * is sent a batch too, even an empty one.
   */
  boolean hasCommands(Machine machine) {
    if (!machine.isReconciled() || machine.health().isUnresponsive()) {
      return true;
    }
    for (Attempt attempt : machine.attempts()) {
      if ((isLaunchDue(attempt) && !attempt.launch().isInFlight()) || isStopDue(attempt)) {
        return true;
      }
    }
    return reaper.isFencingDue(machine);
  }

  /**
   * Returns the commands for a direct batch. May raise the machine's fencing token.
   *
   * @param launches the list to which the attempts that the batch launches are added
   */
  List<Command> directCommands(Machine machine, List<Attempt> launches) {
    List<Command> commands = new ArrayList<>();
    if (machine.isReconciled()) {
      reaper.raiseTokenForDirectBatch(machine);
      addCommands(machine, commands, launches, true);
    }
    return commands;
  }

  /**
   * Returns the commands for the response to a heartbeat: stops, exited attempts that the worker
   * may forget, and launches whose delivery is unknown. May raise the machine's fencing token.
   */
  List<Command> responseCommands(Machine machine) {
    List<Command> commands = new ArrayList<>();
    if (machine.isReconciled()) {
      reaper.raiseTokenForResponse(machine);
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
      if (reaper.isReapable(attempt)) {
        commands.add(Command.reap(attempt.task(), attempt.number()));
      }
    }
  }

  /**
   * Adds the launch of an attempt that no heartbeat has shown yet. A launch whose delivery is
   * unknown is repeated until the worker shows the attempt, even if the attempt is no longer
   * wanted: a worker that knows that the attempt has ended will not start it when the lost copy of
   * the launch arrives.
   */
  private void addLaunch(
      Attempt attempt, List<Command> commands, List<Attempt> launches, boolean direct) {
    if (!isLaunchDue(attempt)) {
      return;
    }
    if (!direct && attempt.machine().delivery().isFailing() && !attempt.launch().isInFlight()) {
      // The worker can reach this controller, perhaps through a peer, but this controller cannot
      // reach the worker, so launches are sent in the responses to its heartbeats.
      attempt.launch().sentInResponse();
    }
    if (direct ? attempt.launch().isInFlight() : !attempt.launch().isOutcomeUnknown()) {
      return;
    }
    commands.add(Command.launch(attempt.task(), attempt.number()));
    launches.add(attempt);
    long token = attempt.machine().fencingToken();
    attempt.launch().sentWith(token);
    tokens.launchSent(token);
    if (attempt.isStopping()) {
      commands.add(Command.stop(attempt.task(), attempt.number(), 0));
    }
  }

  /** Returns whether the launch of the attempt may be sent, for the first time or again. */
  private boolean isLaunchDue(Attempt attempt) {
    if (!attempt.isLaunching()) {
      return false;
    }
    if (attempt.launch().isSent()) {
      return true;
    }
    Job job = jobs.get(attempt.task().job());
    return job != null && job.isLaunchable(attempt.task().index());
  }

  private boolean isStopDue(Attempt attempt) {
    return !attempt.isOver()
        && attempt.isStopDue(loop.now(), settings.heartbeatIntervalS() * 2 / 3);
  }
}
