package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.config.TeamQuota;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.http.EventLoop;
import org.saffronshore.scheduling.MachineView;
import org.saffronshore.scheduling.PendingJob;
import org.saffronshore.scheduling.PlacedTask;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/** The cluster as the cycle and the fleet look at it. Reads only. */
public final class ClusterView {
  /** A job of which nothing has run for so many leases goes first, with one task. */
  private static final double PATIENCE_LEASES = 4;

  private final Cluster cluster;
  private final EventLoop loop;
  private final Settings settings;

  ClusterView(Cluster cluster, EventLoop loop, Settings settings) {
    this.cluster = cluster;
    this.loop = loop;
    this.settings = settings;
  }

  /** One line for the log: how much there is, and how much of it is used. */
  public String summary() {
    int up = 0;
    int coming = 0;
    int fetching = 0;
    double total = 0;
    double used = 0;
    double running = 0;
    for (Machine m : cluster.machines()) {
      MachineType type = cluster.typeOf(m);
      if (!m.up || type == null) {
        coming++;
        continue;
      }
      up++;
      total += type.cpus();
      for (Attempt a : m.attempts.values()) {
        double cpus = a.job == null ? 0 : a.job.cpus();
        used += cpus;
        running += a.state == Attempt.State.RUNNING ? cpus : 0;
        fetching += a.state == Attempt.State.PULLING_IMAGE ? 1 : 0;
      }
    }
    int waiting = 0;
    for (Job job : cluster.jobs()) {
      waiting += job.ready ? job.waitingTasks.cardinality() : 0;
    }
    return cluster.machines().size()
        + " machines ("
        + up
        + " up, "
        + coming
        + " coming or lost, "
        + cluster.unreconciledCount()
        + " unaccounted), CPUs "
        + Math.round(total)
        + " up, "
        + Math.round(used)
        + " taken, "
        + Math.round(running)
        + " running; "
        + cluster.jobs().size()
        + " open jobs, "
        + waiting
        + " tasks waiting, "
        + fetching
        + " fetching; "
        + cluster.dependencies().waitingCount()
        + " jobs wait for others";
  }

  /** What is free on a machine now, or null when nothing may be put there. */
  public Resources freeOn(Machine m) {
    MachineType type = cluster.typeOf(m);
    if (type == null || !m.isSchedulable(loop.now())) {
      return null;
    }
    Resources room = Resources.capacityOf(type);
    for (Attempt a : m.attempts.values()) {
      room.subtract(a.job);
    }
    return room;
  }

  /**
   * What the fleet may count on: machines that are up or coming.
   *
   * @param released whether to count what running tasks will leave
   */
  public List<Forecast.MachineTimeline> machineTimelines(double lateBoot, boolean released) {
    double now = loop.now();
    List<Forecast.MachineTimeline> lines = new ArrayList<>();
    for (Machine m : cluster.machines()) {
      MachineType type = cluster.typeOf(m);
      if (type == null || !m.isReliable(now)) {
        continue;
      }
      if (m.up) {
        lines.add(line(m, type, released, now));
      } else if (!m.wasEverUp() && now < m.rentedAt + type.bootS() * lateBoot) {
        double upAt = Math.max(now, m.rentedAt + type.bootS());
        lines.add(new Forecast.MachineTimeline(m.kind(), Resources.capacityOf(type), upAt));
      }
    }
    return lines;
  }

  private Forecast.MachineTimeline line(Machine m, MachineType type, boolean released, double now) {
    Resources room = Resources.capacityOf(type);
    Forecast.MachineTimeline line =
        new Forecast.MachineTimeline(m.kind(), room, Math.max(now, m.backoffUntil));
    for (Attempt a : m.attempts.values()) {
      if (a.job == null) {
        continue;
      }
      room.subtract(a.job);
      if (released) {
        line.addRunningTask(a.job, now + cluster.remainingRuntimeS(a, now));
      }
    }
    return line;
  }

  /** How many tasks of each job there are on machines of some types. */
  public List<DisplacedTasks.Running> runningOn(Set<String> types) {
    Map<String, Map<String, DisplacedTasks.Running>> all = new HashMap<>();
    for (Machine m : cluster.machines()) {
      if (m.up && types.contains(m.type)) {
        for (Attempt a : m.attempts.values()) {
          if (a.job != null) {
            all.computeIfAbsent(m.type, t -> new LinkedHashMap<>())
                .merge(
                    a.job.id(),
                    new DisplacedTasks.Running(m.type, a.job, 1),
                    (r, one) -> new DisplacedTasks.Running(r.type(), r.job(), r.tasks() + 1));
          }
        }
      }
    }
    List<DisplacedTasks.Running> list = new ArrayList<>();
    all.values().forEach(jobs -> list.addAll(jobs.values()));
    return list;
  }

  /** Machines that can take tasks. What did not change since the last time is not made anew. */
  public List<MachineView> hosts() {
    double now = loop.now();
    List<MachineView> hosts = new ArrayList<>(cluster.machines().size());
    for (Machine m : cluster.machines()) {
      MachineType type = cluster.typeOf(m);
      if (type == null || !m.isSchedulable(now)) {
        continue;
      }
      if (m.cachedView == null || m.cachedView.isModified()) {
        m.cachedView =
            new MachineView(m.id, m.kind(), Resources.capacityOf(type), m::hasTraceOf, m.images());
        for (Attempt a : m.attempts.values()) {
          m.cachedView.add(new PlacedTask(a.task, a.job, a.stopping, a.runningSince, a.overdue));
        }
      }
      hosts.add(m.cachedView);
    }
    return hosts;
  }

  /** Waiting tasks of the job but for those that machines not accounted for may hold. */
  private BitSet seen(Job job, boolean anything) {
    BitSet waiting = (BitSet) job.waitingTasks.clone();
    if (anything) {
      waiting.andNot(job.waitingTasksLaunchedBefore());
      return waiting;
    }
    for (Machine m : cluster.unreconciled()) {
      for (TaskId task : m.possibleTasks) {
        if (task.job().equals(job.spec.id())) {
          waiting.clear(task.index());
        }
      }
    }
    return waiting;
  }

  /**
   * Jobs with tasks that may be placed now.
   *
   * @param written whether it can be written down that more tasks may be launched; if not, they
   *     have to wait
   */
  public List<PendingJob> pending(boolean written) {
    double now = loop.now();
    List<PendingJob> all = new ArrayList<>();
    boolean anything = cluster.anyUnreconciledMayHoldAnything();
    for (Job job : cluster.jobs()) {
      if (!job.ready || job.waitingTasks.isEmpty() || now < job.backoffUntil) {
        continue;
      }
      BitSet waiting = cluster.mayRunOnUnreconciled(job) ? seen(job, anything) : job.waitingTasks;
      if (!written) {
        waiting = waiting.get(0, Math.min(job.launchWatermark, job.spec.tasks()));
      }
      boolean zonesMatter = PendingJob.hasZoneConstraint(job.spec);
      if (waiting.isEmpty() || (zonesMatter && cluster.mayRunInUnknownZone(job))) {
        continue;
      }
      Map<String, Integer> perZone = zonesMatter ? perZone(job) : Map.of();
      PendingJob pending = new PendingJob(job.spec, job.version, waiting, perZone);
      all.add(starving(job) ? pending.markOverdue() : pending);
    }
    return all;
  }

  /** How many tasks of the job each zone has, or may have. */
  private static Map<String, Integer> perZone(Job job) {
    Map<String, Integer> perZone = new HashMap<>();
    job.placed.values().forEach(a -> perZone.merge(a.machine.zone, 1, Integer::sum));
    job.duplicateAttempts.forEach(a -> perZone.merge(a.machine.zone, 1, Integer::sum));
    return perZone;
  }

  /** Whether the job has waited for very long, and nothing of it has ever run. */
  private boolean starving(Job job) {
    boolean waitsLong =
        job.waitingTimeS(loop.wallClockMs()) > PATIENCE_LEASES * settings.workerLeaseS();
    return waitsLong && !job.hasStarted && job.finishedTasks.isEmpty() && job.placed.isEmpty();
  }

  /** Teams with what their tasks use or may be using; {@code weights} are the operators' own. */
  public Map<String, Team> teams(SchedulingSettings tuning, Map<String, Double> weights) {
    Map<String, Team> teams = new HashMap<>();
    for (TeamQuota t : settings.teams().values()) {
      double guarantee = t.guaranteedCpus() + t.guaranteedGpus();
      teams.put(
          t.name(), new Team(t, weights.getOrDefault(t.name(), guarantee > 0 ? guarantee : 1.0)));
    }
    QuotaAccounting.count(cluster, teams, tuning);
    return teams;
  }

  /**
   * Whether everything on a machine saves its work, has run for a while and will run on, and may go
   * anywhere.
   */
  public boolean movable(Machine m, double minRunS) {
    double now = loop.now();
    if (m.isEmpty() || !m.isSchedulable(now)) {
      return false;
    }
    for (Attempt a : m.attempts.values()) {
      boolean free = a.job.supportsCheckpoints() && !a.job.singleZone() && !a.job.spread();
      if (!free
          || a.stopping
          || a.state != Attempt.State.RUNNING
          || now < a.runningSince + minRunS
          || cluster.remainingRuntimeS(a, now) < 4 * a.job.checkpointDurationS()) {
        return false;
      }
    }
    return true;
  }
}
