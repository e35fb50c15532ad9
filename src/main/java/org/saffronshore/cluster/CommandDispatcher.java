package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;

/**
 * What each machine is to be told: launches, stops, and what it may forget. Launches and stops go
 * straight to the worker; the answers to its reports carry the rest, and what could not be
 * delivered.
 */
final class CommandDispatcher {
  private static final int MAX_COMMANDS = 400;

  /** After this many failures in a row the pause before the next command grows no longer. */
  private static final int MAX_BACKOFFS = 5;

  private final Cluster cluster;
  private final EventLoop loop;
  private final Settings settings;
  private final Set<Machine> waiting = new LinkedHashSet<>();

  CommandDispatcher(Cluster cluster, EventLoop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
  }

  /** The machine has, or may have, something to be told. */
  void markDue(Machine m) {
    waiting.add(m);
  }

  /** The machine that has waited longest, or null; it counts as looked at. */
  Machine next() {
    var first = waiting.iterator();
    if (!first.hasNext()) {
      return null;
    }
    Machine m = first.next();
    first.remove();
    return m;
  }

  boolean hasCommands(Machine m) {
    if (!m.reconciled || m.unresponsive) {
      return true;
    }
    for (Attempt a : m.attempts.values()) {
      if ((isLaunchDue(a) && a.launchesInFlight == 0) || isStopDue(a)) {
        return true;
      }
    }
    return false;
  }

  /** Whether its launch may go out, again or for the first time. */
  private boolean isLaunchDue(Attempt a) {
    Job job = a.state == Attempt.State.LAUNCHING ? cluster.job(a.task.job()) : null;
    return a.state == Attempt.State.LAUNCHING
        && (a.launchSent || (job != null && job.isLaunchable(a.task.index())));
  }

  private boolean isStopDue(Attempt a) {
    return a.stopping && loop.now() >= a.stopSentAt + settings.heartbeatIntervalS() * 2 / 3;
  }

  /** What to send to a machine now, or null. */
  CommandBatch nextBatch(Machine m) {
    double now = loop.now();
    // One that has not found this leader yet is asked where it is: tasks of older jobs wait for
    // what it holds.
    boolean unheard = !m.up && cluster.isUnreconciled(m);
    if (cluster.machine(m.id) != m
        || m.commandInFlight
        || m.address == null
        || now < m.nextCommandAt
        || !hasCommands(m)
        || (!unheard && (!m.up || m.isSilent(now)))) {
      return null;
    }
    List<Command> commands = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    if (m.reconciled) {
      commands(m, commands, launches, true);
    }
    for (Attempt a : launches) {
      a.launchSent = true;
      a.launchesInFlight++;
    }
    m.commandInFlight = true;
    // A wrong guess of the session is harmless: nothing is executed, and the refusal tells the
    // right one.
    return new CommandBatch(m, Math.max(1, m.epoch), commands, launches);
  }

  /** What became of a batch: 200, 409, not sent, or anything else, which may yet be carried out. */
  void batchCompleted(CommandBatch batch, boolean executed, boolean surelyNot, Heartbeat report) {
    Machine m = batch.machine();
    m.commandInFlight = false;
    m.invalidateView();
    batch.launches().forEach(a -> launchAnswered(a, executed, surelyNot));
    if (report != null) {
      cluster.unresponsiveMachines().markResponsive(m);
      cluster.directStatusReceived(m, report);
    }
    if (executed || (surelyNot && report != null)) {
      m.failedCommands = 0;
    } else {
      m.failedCommands = Math.min(m.failedCommands + 1, MAX_BACKOFFS);
      m.nextCommandAt = loop.now() + settings.heartbeatIntervalS() / 6 * m.failedCommands;
    }
    if (report != null) {
      // Executed, or refused, and yet the worker does not show it: it is not there.
      batch.launches().stream().filter(this::neverArrives).forEach(cluster::endAttempt);
    }
    if (cluster.machine(m.id) == m && hasCommands(m)) {
      waiting.add(m);
    }
  }

  private void launchAnswered(Attempt a, boolean executed, boolean surelyNot) {
    a.launchesInFlight--;
    if (!executed && !surelyNot) {
      a.deliveryUnknown = true;
    }
    if (surelyNot && a.state == Attempt.State.LAUNCHING && !a.launchMayArrive()) {
      a.launchSent = false;
      if (a.stopping && a.machine.attempts.get(a.task) == a) {
        cluster.endAttempt(a);
      }
    }
  }

  /** Whether no report has shown the attempt and no launch of it can arrive any more. */
  private boolean neverArrives(Attempt a) {
    return a.state == Attempt.State.LAUNCHING
        && !a.launchMayArrive()
        && a.machine.attempts.get(a.task) == a;
  }

  /** Machines whose calls failed and may be tried again. */
  void requeueRetryable() {
    for (Machine m : cluster.machines()) {
      if (m.up && !m.commandInFlight && hasCommands(m)) {
        waiting.add(m);
      }
    }
  }

  /**
   * Commands for the answer to a report: stops, what may be forgotten, and launches whose delivery
   * is in doubt.
   */
  List<Command> responseCommands(Machine m) {
    List<Command> commands = new ArrayList<>();
    if (m.reconciled) {
      commands(m, commands, new ArrayList<>(), false);
    }
    return commands;
  }

  private void commands(Machine m, List<Command> commands, List<Attempt> launches, boolean direct) {
    for (Attempt a : m.attempts.values()) {
      if (commands.size() >= MAX_COMMANDS) {
        return;
      }
      if (a.state == Attempt.State.LAUNCHING) {
        launch(a, commands, launches, direct);
      } else if (isStopDue(a)) {
        commands.add(Command.stop(a.task, a.number, a.gracePeriodS));
        a.stopSentAt = loop.now();
      }
    }
    for (Attempt a : m.exited.values()) {
      if (commands.size() >= MAX_COMMANDS) {
        return;
      }
      if (isReapable(a)) {
        commands.add(Command.reap(a.task, a.number));
      }
    }
  }

  /**
   * Adds the launch of an attempt that no report has shown yet. A launch that is in doubt is
   * repeated until the worker shows it, also when it is not wanted any more: a worker that knows
   * the attempt has ended will not start it when the lost copy arrives.
   */
  private void launch(Attempt a, List<Command> commands, List<Attempt> launches, boolean direct) {
    if (!isLaunchDue(a)) {
      return;
    }
    if (!direct && a.machine.failedCommands > 0 && a.launchesInFlight == 0) {
      // The worker reaches this node, perhaps through a peer, and cannot be reached: the answers
      // to its reports carry launches.
      a.launchSent = true;
      a.deliveryUnknown = true;
    }
    if (direct ? a.launchesInFlight > 0 : !a.deliveryUnknown) {
      return;
    }
    commands.add(Command.launch(a.task, a.number));
    launches.add(a);
    if (a.stopping) {
      commands.add(Command.stop(a.task, a.number, 0));
    }
  }

  /** Whether the worker may forget an exited attempt: it cannot start anew, and its end is kept. */
  private boolean isReapable(Attempt a) {
    Job job = cluster.job(a.task.job());
    return !a.launchMayArrive()
        && (!a.done || job == null || job.savedFinishedTasks.get(a.task.index()));
  }
}
