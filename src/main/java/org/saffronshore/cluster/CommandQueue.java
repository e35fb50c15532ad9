package org.saffronshore.cluster;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A FIFO queue, without duplicates, of the machines that have or may have commands to be sent. */
final class CommandQueue {
  private final CommandBuilder commandBuilder;
  private final Set<Machine> dueMachines = new LinkedHashSet<>();

  CommandQueue(CommandBuilder commandBuilder) {
    this.commandBuilder = commandBuilder;
  }

  /** Queues a machine that has or may have commands. A machine in the queue keeps its position. */
  void markDue(Machine machine) {
    dueMachines.add(machine);
  }

  /** Queues the machine if there is anything to send to it. */
  void markDueIfHasCommands(Machine machine) {
    if (commandBuilder.hasCommands(machine)) {
      dueMachines.add(machine);
    }
  }

  /** Removes and returns the machine that has waited longest, or null if the queue is empty. */
  @Nullable Machine poll() {
    var machines = dueMachines.iterator();
    if (!machines.hasNext()) {
      return null;
    }
    Machine machine = machines.next();
    machines.remove();
    return machine;
  }
}
