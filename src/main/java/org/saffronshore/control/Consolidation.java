package org.saffronshore.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.cluster.Attempt;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.cluster.Machine;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Empties machines whose tasks have room elsewhere, so that they can be returned. */
final class Consolidation {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidation.class);

  /** A start counts for little when the task is stopped again sooner than this. */
  private static final double MIN_RUN_S = 30;

  /** A machine costs this much even when it is returned sooner. */
  static final double MIN_CHARGED_S = 60;

  /** This share of the machines may be emptied at the same time. */
  private static final double EMPTIED_SHARE = 0.02;

  private final EventLoop loop;
  private final Cluster cluster;

  Consolidation(EventLoop loop, Cluster cluster) {
    this.loop = loop;
    this.cluster = cluster;
  }

  /**
   * Empties the least used machines whose tasks all save their work, when the others have room for
   * them: what a machine half empty costs is more than what it takes to save and go on elsewhere. A
   * few machines at a time.
   */
  void drainUnderused() {
    double now = loop.now();
    List<Machine> leastFirst = new ArrayList<>();
    Map<Machine, Resources> rooms = new LinkedHashMap<>();
    int draining = 0;
    for (Machine m : cluster.machines()) {
      if (m.isDraining()) {
        draining++;
        continue;
      }
      Resources room = m.isEmpty() ? null : cluster.view().freeResources(m);
      if (room != null) {
        rooms.put(m, room);
        if (cluster.view().isMovable(m, MIN_RUN_S) && now > m.rentedAt() + MIN_CHARGED_S) {
          leastFirst.add(m);
        }
      }
    }
    int most = Math.max(1, (int) (rooms.size() * EMPTIED_SHARE)) - draining;
    leastFirst.sort(Comparator.comparing(Machine::isSpot).thenComparingDouble(Machine::usedCpus));
    for (int i = 0; i < leastFirst.size() && i < 4 * most && most > 0; i++) {
      Machine m = leastFirst.get(i);
      if (fitElsewhere(m, rooms)) {
        LOG.debug("emptying machine {}: {} tasks of it fit elsewhere", m.id(), m.taskCount());
        rooms.remove(m);
        cluster.drain(m);
        most--;
      }
    }
  }

  /** Whether the machine's tasks fit on others; if so, their room is taken. */
  private static boolean fitElsewhere(Machine m, Map<Machine, Resources> rooms) {
    List<Runnable> undo = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      Resources found = null;
      for (var e : rooms.entrySet()) {
        Machine other = e.getKey();
        boolean worse = m.isSpot() && !other.isSpot();
        if (other != m && !worse && e.getValue().fits(a.job()) && other.kind().allows(a.job())) {
          found = e.getValue();
          break;
        }
      }
      if (found == null) {
        undo.forEach(Runnable::run);
        return false;
      }
      Resources room = found;
      room.subtract(a.job());
      undo.add(() -> room.add(a.job()));
    }
    return true;
  }
}
