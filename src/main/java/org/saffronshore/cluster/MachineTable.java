package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Address;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of one term: which there are, which may hold tasks of earlier terms and have not
 * been heard, and which are gone or count as lost.
 */
final class MachineTable {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTable.class);

  /** A machine counts as silent when it has let this many reports be missed. */
  private static final double MISSED_REPORTS = 1.4;

  /** Reports of machines that are gone may come late, but not by so many leases. */
  private static final double GONE_LEASES = 20;

  private final Cluster cluster;
  private final EventLoop loop;
  private final Settings settings;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Since when machines are gone; the longest ago first. */
  private final Map<String, Double> removedAt = new LinkedHashMap<>();

  /** Machines that may hold tasks of earlier terms and have not been heard in this one. */
  private final Set<Machine> unreconciled = new LinkedHashSet<>();

  /** This node has not stood still since then. */
  private double resumedAt;

  MachineTable(Cluster cluster, EventLoop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
    this.resumedAt = loop.now();
  }

  Collection<Machine> all() {
    return machines.values();
  }

  Machine get(String id) {
    return machines.get(id);
  }

  boolean isRemoved(String id) {
    return removedAt.containsKey(id);
  }

  Set<Machine> unreconciled() {
    return unreconciled;
  }

  Machine getOrCreate(String id) {
    return machines.computeIfAbsent(
        id, m -> new Machine(m, MISSED_REPORTS * settings.heartbeatIntervalS(), loop.now()));
  }

  /**
   * A machine that an earlier leader gave tasks to, or may have. The longer ago it is sure to have
   * existed, the sooner a list of the cloud that lacks it proves that it is gone.
   *
   * @param held all that it can hold, or null when that may be anything
   */
  void addRegistered(String id, double ageS, Set<TaskId> held) {
    Machine m = getOrCreate(id);
    m.registered = held == null;
    m.cordoned = held != null;
    m.registryWriteInFlight = true;
    m.possibleTasks = held == null ? null : new HashSet<>(held);
    m.existsSince = Math.min(m.existsSince, loop.now() - Math.max(0, ageS));
    LOG.debug(
        "machine {} is registered since {} s, and holds at most: {}",
        id,
        Math.round(ageS),
        held == null ? "anything" : held);
    if (!m.reconciled) {
      m.leaseRenewedAt = Math.max(m.leaseRenewedAt, cluster.startedAt());
      unreconciled.add(m);
      cluster.commandsDue(m);
    }
  }

  /** The cloud has answered a rental request with this machine. */
  void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    if (removedAt.containsKey(id)) {
      return;
    }
    Machine m = getOrCreate(id);
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.rentedAt = requestedAt;
  }

  /** One line of the cloud's list. */
  void machineListed(ListedMachine listed) {
    String id = listed.id();
    if (removedAt.containsKey(id)) {
      return;
    }
    Machine m = machines.get(id);
    if (m == null) {
      m = getOrCreate(id);
      m.rentedAt = loop.now() - listed.rentedForS();
      LOG.debug(
          "machine {} ({} in {}, spot {}) is in the cloud's list, and was not known",
          id,
          listed.type(),
          listed.zone(),
          listed.spot());
    }
    m.type = listed.type();
    m.zone = listed.zone();
    m.spot = listed.spot();
    setAddress(m, listed.address());
    if (unreconciled.contains(m) && !m.up) {
      cluster.commandsDue(m);
    }
    if (listed.failed() && !m.failed) {
      // A failed machine has stopped of its own accord: nothing on it runs, now or later.
      LOG.debug("machine {} has failed, says the cloud", id);
      m.failed = true;
      release(m);
    }
  }

  /**
   * Drops what a complete list of the cloud lacks. A list may be up to twice the usual delay old,
   * and older than the one before it, so only machines that were known well before the request can
   * be told to be gone.
   */
  void removeUnlisted(Set<String> ids, double requestedAt) {
    double before =
        requestedAt
            - Settings.maxLocalDuration(
                2.25 * settings.cloudListLagS() + settings.heartbeatIntervalS());
    for (Machine m : new ArrayList<>(machines.values())) {
      if (!ids.contains(m.id) && m.existsSince < before) {
        machineRemoved(m, "the cloud does not list it any more");
      }
    }
  }

  /** The machine does not exist any more, and nothing on it. */
  void machineRemoved(Machine m, String why) {
    LOG.debug("machine {} is gone: {}; it held {}", m.id, why, m.attempts.keySet());
    release(m);
    machines.remove(m.id);
    removedAt.put(m.id, loop.now());
    cluster.registry().machineRemoved(m);
    removedAt
        .values()
        .removeIf(since -> since < loop.now() - GONE_LEASES * settings.workerLeaseS());
  }

  private void release(Machine m) {
    for (Attempt a : m.allAttempts()) {
      cluster.endAttempt(a);
    }
    m.exited.clear();
    m.idleSince = loop.now();
    unreconciled.remove(m);
    cluster.markChanged();
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  void markReturning(Machine m) {
    m.returning = true;
    cluster.markChanged();
  }

  /**
   * Ends every machine whose lease must have run out since the last answer that it can have had.
   */
  void expireLeases() {
    double now = loop.now();
    for (Machine m : machines.values()) {
      boolean addPossiblyHeld = m.up || unreconciled.contains(m);
      if (addPossiblyHeld
          && now
              > m.leaseRenewedAt
                  + Settings.maxLocalDuration(settings.workerLeaseS())
                  + settings.heartbeatIntervalS() / 30) {
        LOG.debug(
            "machine {} counts as lost: nothing heard, and its lease is over; it held {}",
            m.id,
            m.attempts.keySet());
        m.lastExpiredEpoch = Math.max(m.lastExpiredEpoch, m.epoch);
        m.up = false;
        release(m);
      }
    }
  }

  /**
   * This node stood still until now. What it did not hear meanwhile is no machine's fault: hundreds
   * would be taken for silent or deaf at once. Leases run on, since they count from what the
   * machines were told.
   */
  void onProcessPause() {
    resumedAt = loop.now();
    machines.values().forEach(m -> m.lastHeartbeatAt = resumedAt);
  }

  double resumedAt() {
    return resumedAt;
  }

  /** Whether most machines that are up have not been heard for a while. */
  boolean isMostlySilent(double forS) {
    int up = 0;
    int silent = 0;
    for (Machine m : machines.values()) {
      if (m.up) {
        up++;
        silent += loop.now() > m.lastHeartbeatAt + forS ? 1 : 0;
      }
    }
    return silent * 2 > up;
  }

  static void setAddress(Machine m, String address) {
    if (m.address == null && address != null) {
      try {
        m.address = Address.parse("Address", address);
      } catch (InvalidFieldException e) {
        LOG.warn("machine {} has no usable address: {}", m.id, e.getMessage());
      }
    }
  }
}
