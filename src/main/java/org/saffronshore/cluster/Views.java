package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.http.Loop;
import org.saffronshore.scheduling.Host;
import org.saffronshore.scheduling.HostedTask;
import org.saffronshore.scheduling.PendingJob;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/** The cluster as the cycle and the fleet look at it. Reads only. */
public final class Views {
  /** A job of which nothing has run for so many leases goes first, with one task. */
  private static final double PATIENCE_LEASES = 4;

  private final Cluster cluster;
  private final Loop loop;
  private final Settings settings;

  Views(Cluster cluster, Loop loop, Settings settings) {
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
        fetching += a.state == Attempt.State.FETCHING ? 1 : 0;
      }
    }
    int waiting = 0;
    for (Job job : cluster.jobs()) {
      waiting += job.ready ? job.waiting.cardinality() : 0;
    }
    return cluster.machines().size()
        + " machines ("
        + up
        + " up, "
        + coming
        + " coming or lost, "
        + cluster.unconfirmedCount()
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
        + cluster.dependencies().waiting()
        + " jobs wait for others";
  }

  /** What is free on a machine now, or null when nothing may be put there. */
  public Resources freeOn(Machine m) {
    MachineType type = cluster.typeOf(m);
    if (type == null || !m.usable(loop.now())) {
      return null;
    }
    Resources room = Resources.of(type);
    for (Attempt a : m.attempts.values()) {
      room.take(a.job);
    }
    return room;
  }

  /**
   * What the fleet may count on: machines that are up or coming.
   *
   * @param released whether to count what running tasks will leave
   */
  public List<Forecast.Line> lines(double lateBoot, boolean released) {
    double now = loop.now();
    List<Forecast.Line> lines = new ArrayList<>();
    for (Machine m : cluster.machines()) {
      MachineType type = cluster.typeOf(m);
      if (type == null || !m.reliable(now)) {
        continue;
      }
      if (m.up) {
        lines.add(line(m, type, released, now));
      } else if (!m.everUp() && now < m.rentedAt + type.bootS() * lateBoot) {
        double upAt = Math.max(now, m.rentedAt + type.bootS());
        lines.add(new Forecast.Line(m.kind(), Resources.of(type), upAt));
      }
    }
    return lines;
  }

  private Forecast.Line line(Machine m, MachineType type, boolean released, double now) {
    Resources room = Resources.of(type);
    Forecast.Line line = new Forecast.Line(m.kind(), room, Math.max(now, m.suspendedUntil));
    for (Attempt a : m.attempts.values()) {
      if (a.job == null) {
        continue;
      }
      room.take(a.job);
      if (released) {
        line.running(a.job, now + cluster.remainingS(a, now));
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
  public List<Host> hosts() {
    double now = loop.now();
    List<Host> hosts = new ArrayList<>(cluster.machines().size());
    for (Machine m : cluster.machines()) {
      MachineType type = cluster.typeOf(m);
      if (type == null || !m.usable(now)) {
        continue;
      }
      if (m.host == null || m.host.touched()) {
        m.host = new Host(m.id, m.kind(), Resources.of(type), m::barred, m.images());
        for (Attempt a : m.attempts.values()) {
          m.host.add(new HostedTask(a.task, a.job, a.stopping, a.runningSince, a.overdue));
        }
      }
      hosts.add(m.host);
    }
    return hosts;
  }

  /** Waiting tasks of the job but for those that machines not accounted for may hold. */
  private BitSet seen(Job job, boolean anything) {
    BitSet waiting = (BitSet) job.waiting.clone();
    if (anything) {
      waiting.andNot(job.launchedBefore());
      return waiting;
    }
    for (Machine m : cluster.unconfirmed()) {
      for (TaskId task : m.held) {
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
    boolean anything = cluster.anythingUnseen();
    for (Job job : cluster.jobs()) {
      if (!job.ready || job.waiting.isEmpty() || now < job.backOffUntil) {
        continue;
      }
      BitSet waiting = cluster.mayBeUnseen(job) ? seen(job, anything) : job.waiting;
      if (!written) {
        waiting = waiting.get(0, Math.min(job.launchMark, job.spec.tasks()));
      }
      boolean zonesMatter = PendingJob.zonesMatter(job.spec);
      if (waiting.isEmpty() || zonesMatter && cluster.zoneUnseen(job)) {
        continue;
      }
      Map<String, Integer> perZone = zonesMatter ? perZone(job) : Map.of();
      PendingJob pending = new PendingJob(job.spec, job.version, waiting, perZone);
      all.add(starving(job) ? pending.overdue() : pending);
    }
    return all;
  }

  /** How many tasks of the job each zone has, or may have. */
  private static Map<String, Integer> perZone(Job job) {
    Map<String, Integer> perZone = new HashMap<>();
    job.placed.values().forEach(a -> perZone.merge(a.machine.zone, 1, Integer::sum));
    job.others.forEach(a -> perZone.merge(a.machine.zone, 1, Integer::sum));
    return perZone;
  }

  /** Whether the job has waited for very long, and nothing of it has ever run. */
  private boolean starving(Job job) {
    boolean waitsLong = job.waitedS(loop.wallMs()) > PATIENCE_LEASES * settings.leaseS();
    return waitsLong && !job.begun && job.done.isEmpty() && job.placed.isEmpty();
  }

  /** Teams with what their tasks use or may be using; {@code weights} are the operators' own. */
  public Map<String, Team> teams(SchedulingSettings tuning, Map<String, Double> weights) {
    Map<String, Team> teams = new HashMap<>();
    for (Settings.Team t : settings.teams().values()) {
      double guarantee = t.cpus() + t.gpus();
      teams.put(
          t.name(), new Team(t, weights.getOrDefault(t.name(), guarantee > 0 ? guarantee : 1.0)));
    }
    TeamUsage.count(cluster, teams, tuning);
    return teams;
  }

  /**
   * Whether everything on a machine saves its work, has run for a while and will run on, and may go
   * anywhere.
   */
  public boolean movable(Machine m, double minRunS) {
    double now = loop.now();
    if (m.empty() || !m.usable(now)) {
      return false;
    }
    for (Attempt a : m.attempts.values()) {
      boolean free = a.job.saves() && !a.job.oneZone() && !a.job.spread();
      if (!free
          || a.stopping
          || a.state != Attempt.State.RUNNING
          || now < a.runningSince + minRunS
          || cluster.remainingS(a, now) < 4 * a.job.saveS()) {
        return false;
      }
    }
    return true;
  }
}
