package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.http.EventLoop;

/**
 * The changes of the machine registry that are still to be written for the next leader. Tasks are
 * placed on a machine only while its entry is known to say that the machine may hold any task.
 */
public final class MachineRegistry {
  private final EventLoop loop;
  private final MachineTable machines;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  private final Set<Machine> unregisteredMachines = new LinkedHashSet<>();
  private final Set<Machine> newlyCordonedMachines = new LinkedHashSet<>();
  private final Set<String> removedMachineIds = new LinkedHashSet<>();

  MachineRegistry(EventLoop loop, MachineTable machines, Runnable onChange) {
    this.loop = loop;
    this.machines = machines;
    this.onChange = onChange;
  }

  /** Requests an entry for a machine that is ready for tasks except for being registered. */
  void requestRegistration(Machine machine) {
    machine.registryEntry().uncordon();
    unregisteredMachines.add(machine);
  }

  void machineRemoved(Machine machine) {
    if (machine.registryEntry().mayExist()) {
      removedMachineIds.add(machine.id());
    }
  }

  /** Returns whether any change is still to be written. */
  public boolean hasPendingWrites() {
    return !unregisteredMachines.isEmpty()
        || !removedMachineIds.isEmpty()
        || !newlyCordonedMachines.isEmpty();
  }

  /**
   * Returns a live view of the machines that no longer exist and whose entries are to be removed.
   */
  public Set<String> removedMachineIds() {
    return removedMachineIds;
  }

  /** Cordons silent machines, so that the tasks that they may hold can be written. */
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

  /** Removes and returns the cordoned machines whose possible tasks are still to be written. */
  public List<Machine> takeCordonedMachines() {
    List<Machine> cordoned =
        newlyCordonedMachines.stream()
            .filter(machine -> machine.registryEntry().isCordoned() && machines.contains(machine))
            .toList();
    newlyCordonedMachines.clear();
    return cordoned;
  }

  /**
   * Returns the machines that are ready for tasks except for being registered, and records that the
   * write of their entries has started.
   */
  public List<Machine> unregisteredMachines() {
    unregisteredMachines.removeIf(machine -> !machines.contains(machine));
    unregisteredMachines.forEach(machine -> machine.registryEntry().writeStarted());
    return new ArrayList<>(unregisteredMachines);
  }

  /** Marks machines as registered, since the state service has confirmed their entries. */
  public void markRegistered(List<Machine> registered) {
    for (Machine machine : registered) {
      machine.registryEntry().writeConfirmed();
      unregisteredMachines.remove(machine);
    }
    onChange.run();
  }
}
