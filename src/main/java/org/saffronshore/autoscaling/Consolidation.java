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
 * Drains underused machines whose tasks fit on other machines, so that scale-in can return them.
 * Only machines on which every task supports checkpoints are drained: saving the progress of those
 * tasks and resuming them elsewhere costs less than keeping a half-empty machine.
 */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  /** The minimum time in seconds for which the cloud bills a machine. */
  static final double MIN_BILLED_S = 60;

  /** Tasks that have run for less than this are not moved, since their launch would be wasted. */
  private static final double MIN_RUN_S = 30;

  /**
   * The maximum share of machines that may be draining at the same time, relative to the
   * schedulable machines that hold tasks. One machine may always be draining.
   */
  private static final double MAX_DRAINING_SHARE = 0.02;

  /** The number of candidates that are examined per machine that may still be drained. */
  private static final int CANDIDATES_PER_DRAIN = 4;

  private final EventLoop loop;
  private final Cluster cluster;

  Consolidation(EventLoop loop, Cluster cluster) {
    this.loop = loop;
    this.cluster = cluster;
  }

  /**
   * Drains the least used machines whose tasks fit on other machines, on-demand machines first and
   * only a few at a time.
   */
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
      Resources free = machine.isEmpty() ? null : cluster.capacity().freeResources(machine);
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
    return cluster.capacity().isMovable(machine, MIN_RUN_S)
        && now > machine.rentedAt() + MIN_BILLED_S;
  }

  private void drain(
      List<Machine> candidates, Map<Machine, Resources> freeByMachine, int maxDrained) {
    int remaining = maxDrained;
    for (int i = 0;
        i < candidates.size() && i < CANDIDATES_PER_DRAIN * remaining && remaining > 0;
        i++) {
      Machine machine = candidates.get(i);
      if (reserveTargets(machine, freeByMachine)) {
        LOG.debug("Draining machine: machine={} tasks={}", machine.id(), machine.taskCount());
        freeByMachine.remove(machine);
        cluster.drain(machine);
        remaining--;
      }
    }
  }

  /**
   * Reserves resources on other machines for all tasks of a machine. If not every task fits,
   * nothing is reserved.
   *
   * @return whether all tasks fit on other machines
   */
  private static boolean reserveTargets(Machine machine, Map<Machine, Resources> freeByMachine) {
    List<Runnable> rollback = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      JobSpec job = Objects.requireNonNull(attempt.job(), "job of an attempt on a movable machine");
      Optional<Resources> target = findTargetResources(machine, job, freeByMachine);
      if (target.isEmpty()) {
        rollback.forEach(Runnable::run);
        return false;
      }
      target.get().subtract(job);
      rollback.add(() -> target.get().add(job));
    }
    return true;
  }

  /**
   * Returns the free resources of the first other machine on which the task fits, or empty if there
   * is none. A task is not moved from a spot machine to an on-demand machine, which costs more.
   */
  private static Optional<Resources> findTargetResources(
      Machine source, JobSpec job, Map<Machine, Resources> freeByMachine) {
    for (var entry : freeByMachine.entrySet()) {
      Machine target = entry.getKey();
      boolean fromSpotToOnDemand = source.isSpot() && !target.isSpot();
      if (target != source
          && !fromSpotToOnDemand
          && entry.getValue().fits(job)
          && target.kind().isAllowedFor(job)) {
        return Optional.of(entry.getValue());
      }
    }
    return Optional.empty();
  }
}
