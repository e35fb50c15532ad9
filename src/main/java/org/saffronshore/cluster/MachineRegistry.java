package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.saffronshore.http.Loop;

/**
 * What is to be written down about machines for the next leader. A machine gets tasks only while it
 * is known to stand there as one that may hold anything.
 */
public final class MachineRegistry {
  private final Cluster cluster;
  private final Loop loop;
  private final Set<Machine> missing = new LinkedHashSet<>();
  private final Set<Machine> toFreeze = new LinkedHashSet<>();
  private final Set<String> left = new LinkedHashSet<>();

  MachineRegistry(Cluster cluster, Loop loop) {
    this.cluster = cluster;
    this.loop = loop;
  }

  /** The machine is ready for tasks but for its place. */
  void enter(Machine m) {
    m.frozen = false;
    missing.add(m);
  }

  void removed(Machine m) {
    if (m.registered || m.registryWriteInFlight) {
      left.add(m.id);
    }
  }

  /** Whether there is anything to be written. */
  public boolean due() {
    return !missing.isEmpty() || !left.isEmpty() || !toFreeze.isEmpty();
  }

  /** Machines that are gone for good: no later leader needs to account for them. */
  public Set<String> left() {
    return left;
  }

  /**
   * Gives machines whose reports have stopped nothing more, so that what they hold can be written
   * down.
   */
  public void freezeSilent() {
    double now = loop.now();
    for (Machine m : cluster.machines()) {
      if (m.up && m.confirmed && m.registered && m.silent(now)) {
        m.registered = false;
        m.frozen = true;
        m.registryWriteInFlight = true;
        toFreeze.add(m);
      }
    }
  }

  /** Machines of which it is to be written down what they hold. */
  public List<Machine> takeFrozenMachines() {
    List<Machine> all =
        toFreeze.stream().filter(m -> m.frozen && cluster.machine(m.id) == m).toList();
    toFreeze.clear();
    return all;
  }

  /** Machines that are ready for tasks but for their place. */
  public List<Machine> missing() {
    missing.removeIf(m -> cluster.machine(m.id) != m);
    missing.forEach(m -> m.registryWriteInFlight = true);
    return new ArrayList<>(missing);
  }

  /** The state service has confirmed their places. */
  public void entered(List<Machine> added) {
    for (Machine m : added) {
      m.registered = true;
      missing.remove(m);
    }
    cluster.changed();
  }
}
