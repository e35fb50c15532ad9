package org.saffronshore.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.saffronshore.admin.Metrics;
import org.saffronshore.cloud.CloudClient;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.fleet.MachineKind;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns machines that are idle, lost, faulty or about to be taken back, for one term. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  /** Machines that boot for longer than this multiple of the usual time are given up. */
  private static final double LOST_BOOT = 3;

  /** An idle machine is kept for this share of the time that a new one takes to boot. */
  private static final double IDLE_KEPT = 0.25;

  /** Room for this many typical jobs of each class is kept although it is idle. */
  private static final double SPARE_JOBS = 1;

  private final EventLoop loop;
  private final Settings settings;
  private final CloudClient cloud;
  private final Metrics metrics;
  private final LeaderTerm term;
  private final Cluster cluster;
  private final Consumer<MachineKind> onReturned;
  private final Set<String> returning = new HashSet<>();

  /**
   * @param onReturned is told of the kind of each returned machine: it can be had again
   */
  ScaleIn(
      EventLoop loop,
      Settings settings,
      CloudClient cloud,
      Metrics metrics,
      LeaderTerm term,
      Cluster cluster,
      Consumer<MachineKind> onReturned) {
    this.loop = loop;
    this.settings = settings;
    this.cloud = cloud;
    this.metrics = metrics;
    this.term = term;
    this.cluster = cluster;
    this.onReturned = onReturned;
  }

  /** Why a machine is to be returned, or null when it is kept. */
  private String reason(Machine m, double now, Spare spare) {
    MachineType type = m.type() == null ? null : cluster.machineTypes().get(m.type());
    double boot = type == null ? settings.workerLeaseS() : type.bootS();
    if (m.hasFailed()) {
      return "it has failed";
    }
    if (!m.wasEverUp()) {
      boolean lost = now > m.rentedAt() + LOST_BOOT * boot;
      return lost && m.isEmpty() && !cluster.isUnreconciled(m) ? "it never came up" : null;
    }
    if (!m.isUp()) {
      return "it is lost";
    }
    if (cluster.unresponsiveMachines().isUnusable(m)) {
      return "it does not respond to commands";
    }
    return m.isEmpty() && m.isReconciled() ? reasonWhenEmpty(m, now, boot, spare) : null;
  }

  private String reasonWhenEmpty(Machine m, double now, double boot, Spare spare) {
    if (m.isDraining()) {
      return "its tasks went elsewhere";
    }
    if (m.isQuarantined()) {
      return "it fails its tasks";
    }
    if (m.hasPreemptionNotice()) {
      return "it is to be taken back, and is empty";
    }
    // Without the state service no job can be accepted and no task launched that is not written
    // down yet: that machines are idle then says nothing of how many are needed.
    boolean idle =
        term.holdsStoreLease()
            && now > m.idleSince() + IDLE_KEPT * boot
            && now > m.rentedAt() + Consolidation.MIN_CHARGED_S;
    return idle && !spare.needs(m) ? "it is idle" : null;
  }

  /**
   * Room that is kept although it is idle: a typical job of each class that still comes should find
   * some.
   */
  private final class Spare {
    private final Map<Machine, Resources> rooms = new HashMap<>();
    private final Map<ArrivalStatistics.ExpectedJob, Double> fitting = new LinkedHashMap<>();

    Spare(double now) {
      double boot =
          cluster.machineTypes().values().stream()
              .mapToDouble(MachineType::bootS)
              .max()
              .orElse(settings.workerLeaseS());
      cluster.arrivals().expectedJobs(now, boot / 2).forEach(e -> fitting.put(e, 0.0));
      for (Machine m : cluster.machines()) {
        Resources room = returning.contains(m.id()) ? null : cluster.view().freeResources(m);
        if (room != null) {
          rooms.put(m, room);
          fitting.replaceAll((e, sum) -> sum + on(m, e));
        }
      }
    }

    private double on(Machine m, ArrivalStatistics.ExpectedJob e) {
      Resources room = rooms.get(m);
      return room == null || !m.kind().allows(e.task())
          ? 0
          : ArrivalStatistics.fitting(room, e.task());
    }

    /** Whether a typical job of some class would find no room without this machine. */
    boolean needs(Machine m) {
      return fitting.entrySet().stream()
          .anyMatch(
              f ->
                  on(m, f.getKey()) > 0
                      && f.getValue() - on(m, f.getKey()) < f.getKey().tasks() * SPARE_JOBS);
    }

    void without(Machine m) {
      fitting.replaceAll((e, sum) -> sum - on(m, e));
      rooms.remove(m);
    }
  }

  /** Returns machines that are of no use any more. */
  void returnUnneeded() {
    double now = loop.now();
    List<String> names = new ArrayList<>();
    List<Machine> dearFirst = new ArrayList<>(cluster.machines());
    dearFirst.sort(Comparator.comparing(Machine::isSpot));
    Spare spare = new Spare(now);
    for (Machine m : dearFirst) {
      String why = returning.contains(m.id()) ? null : reason(m, now, spare);
      if (why != null && names.size() < CloudClient.MAX_MACHINES_RETURNED) {
        LOG.debug("returning machine {}: {}", m.id(), why);
        cluster.markReturning(m);
        returning.add(m.id());
        names.add(m.id());
        spare.without(m);
      }
    }
    if (!names.isEmpty()) {
      returned(names);
    }
  }

  private void returned(List<String> names) {
    cloud.returnMachines(
        names,
        returned -> {
          if (returned) {
            returning.removeAll(names);
            metrics.increment(Metrics.Counter.RETURNED, names.size());
            for (String name : names) {
              Machine m = cluster.machine(name);
              if (m != null) {
                // What was given back can be had again.
                onReturned.accept(m.kind());
                cluster.machineRemoved(m, "returned");
              }
            }
          } else if (term.isActive()) {
            // A successor may have given them work since: it decides whether they are to go.
            loop.schedule(settings.heartbeatIntervalS() / 3, () -> returned(names));
          } else {
            returning.removeAll(names);
          }
        });
  }
}
