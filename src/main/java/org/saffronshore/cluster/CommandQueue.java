package org.saffronshore.cluster;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Machines that have, or may have, commands to be sent; the one that has waited longest first. */
final class CommandQueue {
  private final CommandBuilder commandBuilder;
  private final Set<Machine> dueMachines = new LinkedHashSet<>();

  CommandQueue(CommandBuilder commandBuilder) {
    this.commandBuilder = commandBuilder;
  }

  /** The machine has, or may have, commands; one that waits already keeps its place. */
  void markDue(Machine machine) {
    dueMachines.add(machine);
  }

  /** Queues the machine if it has commands. */
  void markDueIfHasCommands(Machine machine) {
    if (commandBuilder.hasCommands(machine)) {
      dueMachines.add(machine);
    }
  }

  /** Takes the machine that has waited longest; null when none waits. */
  @Nullable Machine poll() {
    var first = dueMachines.iterator();
    if (!first.hasNext()) {
      return null;
    }
    Machine machine = first.next();
    first.remove();
    return machine;
  }
}
