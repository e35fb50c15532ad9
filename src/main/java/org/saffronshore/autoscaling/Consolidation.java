package org.saffronshore.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.saffronshore.cluster.Attempt;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains underused machines whose tasks fit on others, so that scale in can return them. Only
 * machines whose tasks all save checkpoints are drained: a half empty machine costs more than to
 * save the work and to continue elsewhere.
 */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  /** The cloud bills a machine for this long at least. */
  static final double MIN_BILLED_S = 60;

  /** Tasks that have run for less than this are not stopped: the launch would have been wasted. */
  private static final double MIN_RUN_S = 30;

  /** This share of the machines may be draining at the same time. */
  private static final double MAX_DRAINING_SHARE = 0.02;

  /** So many candidates are tried for each machine that may be drained. */
  private static final int CANDIDATES_PER_DRAIN = 4;

  private final EventLoop loop;
  private final Cluster cluster;

  Consolidation(EventLoop loop, Cluster cluster) {
    this.loop = loop;
    this.cluster = cluster;
  }

  /** Drains the least used machines whose tasks fit on others, a few machines at a time. */
  void drainUnderused() {
    double now = loop.now();
    List<Machine> candidates = new ArrayList<>();
    Map<Machine, Resources> freeByMachine = new LinkedHashMap<>();
    int draining = 0;
    for (Machine machine : cluster.machines()) {
      if (machine.isDraining()) {
        draining++;
        continue;
      }
      Resources free = machine.isEmpty() ? null : cluster.view().freeResources(machine);
      if (free != null) {
        freeByMachine.put(machine, free);
        if (isCandidate(machine, now)) {
          candidates.add(machine);
        }
      }
    }
    int maxDraining = Math.max(1, (int) (freeByMachine.size() * MAX_DRAINING_SHARE));
    candidates.sort(Comparator.comparing(Machine::isSpot).thenComparingDouble(Machine::usedCpus));
    drain(candidates, freeByMachine, maxDraining - draining);
  }

  private boolean isCandidate(Machine machine, double now) {
    return cluster.view().isMovable(machine, MIN_RUN_S) && now > machine.rentedAt() + MIN_BILLED_S;
  }

  private void drain(
      List<Machine> candidates, Map<Machine, Resources> freeByMachine, int maxDrained) {
    int left = maxDrained;
    for (int i = 0; i < candidates.size() && i < CANDIDATES_PER_DRAIN * left && left > 0; i++) {
      Machine machine = candidates.get(i);
      if (reserveTargets(machine, freeByMachine)) {
        LOG.debug("Draining machine: machine={} tasks={}", machine.id(), machine.taskCount());
        freeByMachine.remove(machine);
        cluster.drain(machine);
        left--;
      }
    }
  }

  /** Whether the machine's tasks fit on others; if so, what they take there is subtracted. */
  private static boolean reserveTargets(Machine machine, Map<Machine, Resources> freeByMachine) {
    List<Runnable> undo = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      JobSpec job = Objects.requireNonNull(attempt.job(), "of a movable machine");
      Optional<Resources> target = findTargetResources(machine, job, freeByMachine);
      if (target.isEmpty()) {
        undo.forEach(Runnable::run);
        return false;
      }
      target.get().subtract(job);
      undo.add(() -> target.get().add(job));
    }
    return true;
  }

  /** What is free on the first other machine that takes the task, and costs no more. */
  private static Optional<Resources> findTargetResources(
      Machine source, JobSpec job, Map<Machine, Resources> freeByMachine) {
    for (var entry : freeByMachine.entrySet()) {
      Machine target = entry.getKey();
      boolean fromSpotToOnDemand = source.isSpot() && !target.isSpot();
      if (target != source
          && !fromSpotToOnDemand
          && entry.getValue().fits(job)
          && target.kind().allows(job)) {
        return Optional.of(entry.getValue());
      }
    }
    return Optional.empty();
  }
}
