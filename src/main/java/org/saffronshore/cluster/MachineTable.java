package org.saffronshore.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.MachineType;

/**
 * The machines of one term, those that were removed, and the machine types of the cloud. What
 * changes a machine's life cycle is done by {@link MachineLifecycle}.
 */
final class MachineTable {
  /** A machine counts as silent when so many heartbeat intervals have passed without one. */
  private static final double SILENT_AFTER_INTERVALS = 1.4;

  /** Heartbeats of removed machines may come late, but not by so many leases. */
  private static final double REMOVED_RETENTION_LEASES = 20;

  private final EventLoop loop;
  private final Settings settings;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** When machines were removed; the longest ago first. */
  private final Map<String, Double> removedAt = new LinkedHashMap<>();

  private Map<String, MachineType> types = Map.of();

  /** This controller has not paused since then. */
  private double resumedAt;

  MachineTable(EventLoop loop, Settings settings) {
    this.loop = loop;
    this.settings = settings;
    this.resumedAt = loop.now();
  }

  /** A live view. */
  Collection<Machine> all() {
    return machines.values();
  }

  @Nullable Machine get(String id) {
    return machines.get(id);
  }

  /** Whether the table has this very machine, which was not removed meanwhile. */
  boolean contains(Machine machine) {
    return machines.get(machine.id()) == machine;
  }

  Machine getOrCreate(String id) {
    Machine machine = machines.get(id);
    if (machine == null) {
      double silentAfterS = SILENT_AFTER_INTERVALS * settings.heartbeatIntervalS();
      machine = new Machine(id, silentAfterS, loop.now());
      machines.put(id, machine);
    }
    return machine;
  }

  /** Whether the machine was removed: its heartbeats are late ones. */
  boolean isRemoved(String id) {
    return removedAt.containsKey(id);
  }

  void remove(Machine machine) {
    double now = loop.now();
    machines.remove(machine.id());
    removedAt.put(machine.id(), now);
    removedAt
        .values()
        .removeIf(moment -> moment < now - REMOVED_RETENTION_LEASES * settings.workerLeaseS());
  }

  // Machine types

  Map<String, MachineType> types() {
    return types;
  }

  /** Null as long as the machine's type, or all types, are not known. */
  @Nullable MachineType typeOf(Machine machine) {
    String type = machine.type();
    return type == null ? null : types.get(type);
  }

  /** Takes the cloud's current machine types; false when they are the same as before. */
  boolean updateTypes(Map<String, MachineType> newTypes) {
    if (newTypes.equals(types)) {
      return false;
    }
    types = newTypes;
    machines.values().forEach(Machine::invalidateView);
    return true;
  }

  // Silence

  /**
   * This controller has paused until now. That it received nothing meanwhile is no machine's fault:
   * hundreds would count as silent or unresponsive at once. Leases run on, since they count from
   * the responses that the machines may have received.
   */
  void onProcessPause() {
    resumedAt = loop.now();
    machines.values().forEach(machine -> machine.health().restartSilenceTimer(resumedAt));
  }

  /** For how long it could have received messages, since a moment: not while it paused. */
  double listeningTimeS(double moment) {
    return loop.now() - Math.max(moment, resumedAt);
  }

  /** Whether most machines that are up have been silent for a while. */
  boolean isMostlySilent(double durationS) {
    double now = loop.now();
    int up = 0;
    int silent = 0;
    for (Machine machine : machines.values()) {
      if (machine.isUp()) {
        up++;
        silent += machine.health().isSilentFor(durationS, now) ? 1 : 0;
      }
    }
    return silent * 2 > up;
  }
}
