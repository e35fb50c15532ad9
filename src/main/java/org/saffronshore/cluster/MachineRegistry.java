package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.http.EventLoop;

/**
 * What is to be written down about machines for the next leader. A machine gets tasks only while it
 * is known to stand there as one that may hold anything.
 */
public final class MachineRegistry {
  private final Cluster cluster;
  private final EventLoop loop;
  private final Set<Machine> unregisteredMachines = new LinkedHashSet<>();
  private final Set<Machine> toCordon = new LinkedHashSet<>();
  private final Set<String> removedMachines = new LinkedHashSet<>();

  MachineRegistry(Cluster cluster, EventLoop loop) {
    this.cluster = cluster;
    this.loop = loop;
  }

  /** The machine is ready for tasks but for its place. */
  void register(Machine m) {
    m.cordoned = false;
    unregisteredMachines.add(m);
  }

  void machineRemoved(Machine m) {
    if (m.registered || m.registryWriteInFlight) {
      removedMachines.add(m.id);
    }
  }

  /** Whether there is anything to be written. */
  public boolean hasPendingWrites() {
    return !unregisteredMachines.isEmpty() || !removedMachines.isEmpty() || !toCordon.isEmpty();
  }

  /** Machines that are gone for good: no later leader needs to account for them. */
  public Set<String> removedMachines() {
    return removedMachines;
  }

  /**
   * Gives machines whose reports have stopped nothing more, so that what they hold can be written
   * down.
   */
  public void cordonSilent() {
    double now = loop.now();
    for (Machine m : cluster.machines()) {
      if (m.up && m.reconciled && m.registered && m.isSilent(now)) {
        m.registered = false;
        m.cordoned = true;
        m.registryWriteInFlight = true;
        toCordon.add(m);
      }
    }
  }

  /** Machines of which it is to be written down what they hold. */
  public List<Machine> takeCordonedMachines() {
    List<Machine> all =
        toCordon.stream().filter(m -> m.cordoned && cluster.machine(m.id) == m).toList();
    toCordon.clear();
    return all;
  }

  /** Machines that are ready for tasks but for their place. */
  public List<Machine> unregisteredMachines() {
    unregisteredMachines.removeIf(m -> cluster.machine(m.id) != m);
    unregisteredMachines.forEach(m -> m.registryWriteInFlight = true);
    return new ArrayList<>(unregisteredMachines);
  }

  /** The state service has confirmed their places. */
  public void markRegistered(List<Machine> added) {
    for (Machine m : added) {
      m.registered = true;
      unregisteredMachines.remove(m);
    }
    cluster.markChanged();
  }
}
