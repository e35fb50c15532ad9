package org.saffronshore.cluster;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.MachineType;

/**
 * The machines of one term, the machines that were removed in it, and the machine types of the
 * cloud. {@link MachineLifecycle} handles the events that change a machine's life cycle.
 */
final class MachineTable {
  /** Number of heartbeat intervals without a heartbeat after which a machine is silent. */
  private static final double SILENT_AFTER_INTERVALS = 1.4;

  /**
   * Number of leases for which a removed machine is remembered. Its heartbeats may arrive late, but
   * not that late.
   */
  private static final double REMOVED_RETENTION_LEASES = 20;

  private final EventLoop loop;
  private final Settings settings;
  private final long firstFencingToken;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Removal times of machines, in order of removal. */
  private final Map<String, Double> removedAt = new LinkedHashMap<>();

  private Map<String, MachineType> types = Map.of();

  /** The moment since which this controller has not paused. */
  private double resumedAt;

  MachineTable(EventLoop loop, Settings settings, long firstFencingToken) {
    this.loop = loop;
    this.settings = settings;
    this.firstFencingToken = firstFencingToken;
    this.resumedAt = loop.now();
  }

  /** Returns a live view of the machines. */
  Collection<Machine> all() {
    return machines.values();
  }

  @Nullable Machine get(String id) {
    return machines.get(id);
  }

  /** Returns whether the table holds this very object: the machine has not been removed since. */
  boolean contains(Machine machine) {
    return machines.get(machine.id()) == machine;
  }

  Machine getOrCreate(String id) {
    Machine machine = machines.get(id);
    if (machine == null) {
      double silentAfterS = SILENT_AFTER_INTERVALS * settings.heartbeatIntervalS();
      machine = new Machine(id, silentAfterS, firstFencingToken, loop.now());
      machines.put(id, machine);
    }
    return machine;
  }

  /**
   * Returns whether the machine no longer exists: it was removed, or the cloud has listed it as
   * failed. Messages that still arrive from it are late.
   */
  boolean isGone(String id) {
    Machine machine = machines.get(id);
    return isRemoved(id) || (machine != null && machine.hasFailed());
  }

  /** Returns whether the machine was removed. */
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

  /** Returns the machine's type, or null while the type or the list of types is not known. */
  @Nullable MachineType typeOf(Machine machine) {
    String type = machine.type();
    return type == null ? null : types.get(type);
  }

  /** Sets the machine types of the cloud; returns whether they differ from the previous ones. */
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
   * Handles the end of a pause of this process. Messages that it could not receive during the pause
   * must not count as missing: otherwise hundreds of machines would become silent or unresponsive
   * at once. Leases are not extended, since they are counted from the responses that the workers
   * may have received.
   */
  void onProcessPause() {
    resumedAt = loop.now();
    machines.values().forEach(machine -> machine.health().restartSilenceTimer(resumedAt));
  }

  /**
   * Returns for how many seconds since a moment, or since its last pause if that was later, this
   * controller has been able to receive messages.
   */
  double listeningTimeS(double moment) {
    return loop.now() - Math.max(moment, resumedAt);
  }

  /** Returns whether more than half of the machines that are up have been silent for a duration. */
  boolean isMostlySilent(double durationS) {
    double now = loop.now();
    int up = 0;
    int silent = 0;
    for (Machine machine : machines.values()) {
      if (machine.isUp() && machine.isExistenceConfirmed()) {
        up++;
        silent += machine.health().isSilentFor(durationS, now) ? 1 : 0;
      }
    }
    return silent * 2 > up;
  }
}
