package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Loop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Report;

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
  private final Loop loop;
  private final Settings settings;
  private final Set<Machine> waiting = new LinkedHashSet<>();

  CommandDispatcher(Cluster cluster, Loop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
  }

  /** The machine has, or may have, something to be told. */
  void due(Machine m) {
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
    if (!m.confirmed || m.unresponsive) {
      return true;
    }
    for (Attempt a : m.attempts.values()) {
      if (launchDue(a) && a.inFlight == 0 || dueStop(a)) {
        return true;
      }
    }
    return false;
  }

  /** Whether its launch may go out, again or for the first time. */
  private boolean launchDue(Attempt a) {
    Job job = a.state == Attempt.State.SENDING ? cluster.job(a.task.job()) : null;
    return a.state == Attempt.State.SENDING
        && (a.sent || job != null && job.launchable(a.task.index()));
  }

  private boolean dueStop(Attempt a) {
    return a.stopping && loop.now() >= a.stopSentAt + settings.reportS() * 2 / 3;
  }

  /** What to send to a machine now, or null. */
  CommandBatch call(Machine m) {
    double now = loop.now();
    // One that has not found this leader yet is asked where it is: tasks of older jobs wait for
    // what it holds.
    boolean unheard = !m.up && cluster.isUnconfirmed(m);
    if (cluster.machine(m.id) != m
        || m.commandInFlight
        || m.address == null
        || now < m.nextCommandAt
        || !hasCommands(m)
        || !unheard && (!m.up || m.silent(now))) {
      return null;
    }
    List<Command> commands = new ArrayList<>();
    List<Attempt> launches = new ArrayList<>();
    if (m.confirmed) {
      commands(m, commands, launches, true);
    }
    for (Attempt a : launches) {
      a.sent = true;
      a.inFlight++;
    }
    m.commandInFlight = true;
    // A wrong guess of the session is harmless: nothing is executed, and the refusal tells the
    // right one.
    return new CommandBatch(m, Math.max(1, m.session), commands, launches);
  }

  /** What became of a batch: 200, 409, not sent, or anything else, which may yet be carried out. */
  void called(CommandBatch batch, boolean executed, boolean surelyNot, Report report) {
    Machine m = batch.machine();
    m.commandInFlight = false;
    m.changed();
    batch.launches().forEach(a -> launchAnswered(a, executed, surelyNot));
    if (report != null) {
      cluster.unresponsiveMachines().markResponsive(m);
      cluster.answered(m, report);
    }
    if (executed || surelyNot && report != null) {
      m.failedCommands = 0;
    } else {
      m.failedCommands = Math.min(m.failedCommands + 1, MAX_BACKOFFS);
      m.nextCommandAt = loop.now() + settings.reportS() / 6 * m.failedCommands;
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
    a.inFlight--;
    if (!executed && !surelyNot) {
      a.deliveryUnknown = true;
    }
    if (surelyNot && a.state == Attempt.State.SENDING && !a.launchMayArrive()) {
      a.sent = false;
      if (a.stopping && a.machine.attempts.get(a.task) == a) {
        cluster.endAttempt(a);
      }
    }
  }

  /** Whether no report has shown the attempt and no launch of it can arrive any more. */
  private boolean neverArrives(Attempt a) {
    return a.state == Attempt.State.SENDING
        && !a.launchMayArrive()
        && a.machine.attempts.get(a.task) == a;
  }

  /** Machines whose calls failed and may be tried again. */
  void retry() {
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
    if (m.confirmed) {
      commands(m, commands, new ArrayList<>(), false);
    }
    return commands;
  }

  private void commands(Machine m, List<Command> commands, List<Attempt> launches, boolean direct) {
    for (Attempt a : m.attempts.values()) {
      if (commands.size() >= MAX_COMMANDS) {
        return;
      }
      if (a.state == Attempt.State.SENDING) {
        launch(a, commands, launches, direct);
      } else if (dueStop(a)) {
        commands.add(Command.stop(a.task, a.number, a.graceS));
        a.stopSentAt = loop.now();
      }
    }
    for (Attempt a : m.exited.values()) {
      if (commands.size() >= MAX_COMMANDS) {
        return;
      }
      if (forgettable(a)) {
        commands.add(Command.forget(a.task, a.number));
      }
    }
  }

  /**
   * Adds the launch of an attempt that no report has shown yet. A launch that is in doubt is
   * repeated until the worker shows it, also when it is not wanted any more: a worker that knows
   * the attempt has ended will not start it when the lost copy arrives.
   */
  private void launch(Attempt a, List<Command> commands, List<Attempt> launches, boolean direct) {
    if (!launchDue(a)) {
      return;
    }
    if (!direct && a.machine.failedCommands > 0 && a.inFlight == 0) {
      // The worker reaches this node, perhaps through a peer, and cannot be reached: the answers
      // to its reports carry launches.
      a.sent = true;
      a.deliveryUnknown = true;
    }
    if (direct ? a.inFlight > 0 : !a.deliveryUnknown) {
      return;
    }
    commands.add(Command.start(a.task, a.number));
    launches.add(a);
    if (a.stopping) {
      commands.add(Command.stop(a.task, a.number, 0));
    }
  }

  /** Whether the worker may forget an exited attempt: it cannot start anew, and its end is kept. */
  private boolean forgettable(Attempt a) {
    Job job = cluster.job(a.task.job());
    return !a.launchMayArrive() && (!a.done || job == null || job.saved.get(a.task.index()));
  }
}
