package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.http.EventLoop;

/**
 * What is to be written about machines for the next leader. Tasks are placed on a machine only
 * while its entry is known to say that it may hold anything.
 */
public final class MachineRegistry {
  private final EventLoop loop;
  private final MachineTable machines;

  /** What to do when something has happened that may let a task be placed. */
  private final Runnable onChange;

  private final Set<Machine> unregisteredMachines = new LinkedHashSet<>();
  private final Set<Machine> newlyCordonedMachines = new LinkedHashSet<>();
  private final Set<String> removedMachineIds = new LinkedHashSet<>();

  MachineRegistry(EventLoop loop, MachineTable machines, Runnable onChange) {
    this.loop = loop;
    this.machines = machines;
    this.onChange = onChange;
  }

  /** The machine is ready for tasks except for its entry. */
  void requestRegistration(Machine machine) {
    machine.registryEntry().uncordon();
    unregisteredMachines.add(machine);
  }

  void machineRemoved(Machine machine) {
    if (machine.registryEntry().mayExist()) {
      removedMachineIds.add(machine.id());
    }
  }

  /** Whether there is anything to be written. */
  public boolean hasPendingWrites() {
    return !unregisteredMachines.isEmpty()
        || !removedMachineIds.isEmpty()
        || !newlyCordonedMachines.isEmpty();
  }

  /** Machines that do not exist any more, whose entries are to be removed; a live view. */
  public Set<String> removedMachineIds() {
    return removedMachineIds;
  }

  /** Cordons silent machines, so that what they hold at most can be written. */
  public void cordonSilentMachines() {
    double now = loop.now();
    for (Machine machine : machines.all()) {
      if (machine.isUp()
          && machine.isReconciled()
          && machine.registryEntry().isRegistered()
          && machine.health().isSilent(now)) {
        machine.registryEntry().cordon();
        newlyCordonedMachines.add(machine);
      }
    }
  }

  /** Takes the machines whose entries are to say what they hold at most. */
  public List<Machine> takeCordonedMachines() {
    List<Machine> cordoned =
        newlyCordonedMachines.stream()
            .filter(machine -> machine.registryEntry().isCordoned() && machines.contains(machine))
            .toList();
    newlyCordonedMachines.clear();
    return cordoned;
  }

  /** Machines that are ready for tasks except for their entries, which are written from now on. */
  public List<Machine> unregisteredMachines() {
    unregisteredMachines.removeIf(machine -> !machines.contains(machine));
    unregisteredMachines.forEach(machine -> machine.registryEntry().writeStarted());
    return new ArrayList<>(unregisteredMachines);
  }

  /** The state service has confirmed their entries. */
  public void markRegistered(List<Machine> registered) {
    for (Machine machine : registered) {
      machine.registryEntry().writeConfirmed();
      unregisteredMachines.remove(machine);
    }
    onChange.run();
  }
}
