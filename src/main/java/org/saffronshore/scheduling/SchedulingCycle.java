package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * One scheduling cycle: Armada's progressive filling over teams, with packing per team, and with
 * evict-reschedule-stop. A pure function of the view and the seed; it changes only the scratch
 * objects given to it.
 */
public final class SchedulingCycle {

  /** A queue entry: a pending job, or one evicted task that may only return to its own host. */
  private record Entry(PendingJob pending, PlacedTask evicted, MachineView home) {
    JobSpec job() {
      return evicted != null ? evicted.job() : pending.job;
    }

    boolean overdue() {
      return pending != null && pending.isOverdue();
    }
  }

  private final Collection<MachineView> hosts;
  private final Map<String, Team> teams;
  private final SchedulingSettings tuning;
  private final Map<String, List<Entry>> queues = new LinkedHashMap<>();
  private final List<SchedulingPlan.Placement> placements = new ArrayList<>();
  private final List<SchedulingPlan.Preemption> stops = new ArrayList<>();
  private final List<SchedulingPlan.QuotaLimitedTasks> limited = new ArrayList<>();
  private final Map<PendingJob, Integer> unmet = new LinkedHashMap<>();
  private final double now;
  private final FailedPlacements failures = new FailedPlacements();

  private SchedulingCycle(
      Collection<MachineView> hosts,
      Map<String, Team> teams,
      SchedulingSettings tuning,
      double now) {
    this.hosts = hosts;
    this.teams = teams;
    this.tuning = tuning;
    this.now = now;
  }

  /** Runs a cycle; only one with {@code evict} reconsiders tasks that are running. */
  public static SchedulingPlan run(
      Collection<MachineView> hosts,
      Collection<PendingJob> jobs,
      Map<String, Team> teams,
      SchedulingSettings tuning,
      boolean evict,
      RandomGenerator random,
      double now) {
    SchedulingCycle cycle = new SchedulingCycle(hosts, teams, tuning, now);
    cycle.queue(jobs);
    if (evict) {
      cycle.evict(random);
    }
    cycle.fill();
    List<SchedulingPlan.UnplacedTasks> left = new ArrayList<>();
    cycle.unmet.forEach((p, n) -> left.add(new SchedulingPlan.UnplacedTasks(p.job, n)));
    return new SchedulingPlan(cycle.placements, cycle.stops, left, cycle.limited);
  }

  private void queue(Collection<PendingJob> jobs) {
    List<PendingJob> ordered = new ArrayList<>(jobs);
    ordered.sort(
        Comparator.comparing((PendingJob p) -> !p.isOverdue())
            .thenComparing(p -> -p.job.priority().rank())
            .thenComparing(p -> p.order));
    for (PendingJob p : ordered) {
      if (!p.isEmpty() && teams.containsKey(p.job.team())) {
        queues.computeIfAbsent(p.job.team(), t -> new ArrayList<>()).add(new Entry(p, null, null));
      }
    }
  }

  /**
   * Takes preemptible tasks off their hosts, in memory only. The protocol is narrower than the
   * paper here: among equals, only what a team runs beyond its guarantee may be stopped, and only
   * to give another its guarantee.
   */
  private void evict(RandomGenerator random) {
    Set<String> starved = new HashSet<>();
    queues.forEach(
        (name, queue) -> {
          Team team = teams.get(name);
          if (queue.stream().anyMatch(e -> team.withinGuarantee(e.job()))) {
            starved.add(name);
          }
        });
    if (starved.isEmpty()) {
      return;
    }
    Set<String> touched = new HashSet<>();
    for (MachineView host : hosts) {
      if (random.nextDouble() >= tuning.evictionProbability()) {
        continue;
      }
      for (PlacedTask slot : List.copyOf(host.preemptibleTasks)) {
        Team owner = teams.get(slot.job().team());
        if (owner == null
            || starved.contains(slot.job().team())
            || !owner.beyondGuarantee(slot.job())) {
          continue;
        }
        host.evict(slot);
        owner.share(slot.job(), tuning, -1);
        queues
            .computeIfAbsent(slot.job().team(), t -> new ArrayList<>())
            .add(0, new Entry(null, slot, host));
        touched.add(slot.job().team());
      }
    }
    sortByClass(touched);
  }

  /** Evicted tasks head their queues, in each class. */
  private void sortByClass(Set<String> names) {
    for (String name : names) {
      queues
          .get(name)
          .sort(
              Comparator.comparing((Entry e) -> !e.overdue())
                  .thenComparingInt(e -> -e.job().priority().rank()));
    }
  }

  /** What the next entry of a team stands for when teams are compared. */
  private record Head(
      String team, boolean overdue, boolean guaranteed, int priority, double fraction, int rank) {
    static final Comparator<Head> ORDER =
        Comparator.comparing((Head h) -> !h.overdue)
            .thenComparing(h -> !h.guaranteed)
            .thenComparingInt(h -> -h.priority)
            .thenComparingDouble(Head::fraction)
            .thenComparingInt(Head::rank);
  }

  /**
   * The smallest fraction of its fair share, counting the task at the head, decides which team is
   * next. But what could stop others goes before them: first what is within a guarantee, then
   * higher classes. Were the others placed first, they would only be stopped in the next cycle,
   * again and again.
   */
  private void fill() {
    PriorityQueue<Head> heads = new PriorityQueue<>(Head.ORDER);
    Map<String, Integer> at = new HashMap<>();
    List<String> names = new ArrayList<>(queues.keySet());
    for (int i = 0; i < names.size(); i++) {
      at.put(names.get(i), 0);
      heads.add(head(names.get(i), 0, i));
    }
    while (!heads.isEmpty()) {
      Head head = heads.poll();
      List<Entry> queue = queues.get(head.team);
      int index = at.get(head.team);
      if (step(queue.get(index), teams.get(head.team))) {
        at.put(head.team, ++index);
      }
      if (index < queue.size()) {
        heads.add(head(head.team, index, head.rank));
      }
    }
  }

  private Head head(String name, int index, int rank) {
    Entry entry = queues.get(name).get(index);
    JobSpec job = entry.job();
    Team team = teams.get(name);
    return new Head(
        name,
        entry.overdue(),
        team.withinGuarantee(job),
        job.priority().rank(),
        team.fraction(tuning.cost(job)),
        rank);
  }

  /** Places one task of the entry; true when the entry has nothing more to place. */
  private boolean step(Entry entry, Team team) {
    JobSpec job = entry.job();
    if (entry.evicted != null) {
      if (entry.home.freeAfterStops.fits(job)) {
        entry.home.place(job);
        team.share(job, tuning, 1);
        failures.onTeamsChanged();
      } else {
        stops.add(
            new SchedulingPlan.Preemption(
                entry.evicted.task(), entry.home.id, "another team's guarantee"));
      }
      return true;
    }
    PendingJob pending = entry.pending;
    if (!team.withinLimit(job)) {
      limited.add(
          new SchedulingPlan.QuotaLimitedTasks(
              job, pending.remaining(), team.withinLimitOfKnown(job), team.use()));
      return true;
    }
    TaskId task = new TaskId(job.id(), pending.next());
    MachineView host = choose(pending, task);
    if (host == null) {
      host = preempt(pending, task, team);
    }
    if (host == null) {
      if (pending.isOverdue()) {
        keepRoom(pending, task);
      }
      unmet.put(pending, team.tasksWithinLimit(job, pending.remaining()));
      return true;
    }
    boolean overdue = pending.isOverdue();
    pending.taskPlaced(host.kind.zone());
    QuotaUsage counted = team.use();
    team.use(job, tuning);
    failures.onTeamsChanged();
    host.place(job);
    if (host.free.fits(job)) {
      host.free.subtract(job);
      placements.add(new SchedulingPlan.Placement(task, host.id, overdue, counted));
    }
    return pending.isEmpty();
  }

  /**
   * Machines used only by the team, then shared ones, then empty ones, and in each set the one with
   * the least free room; what is free now goes before what is only being freed. The design takes
   * empty machines before shared ones; here every second of a machine is paid for, and one that
   * stays empty can be returned.
   */
  private MachineView choose(PendingJob pending, TaskId task) {
    JobSpec job = pending.job;
    if (failures.noRoom(job)) {
      return null;
    }
    MachineView best = null;
    boolean narrowed = false;
    for (MachineView host : hosts) {
      if (!host.freeAfterStops.fits(job) || !host.kind.allows(job)) {
        continue;
      }
      if (!pending.zoneAllowed(host.kind.zone()) || host.hasTraceOf(task)) {
        narrowed = true;
      } else if (best == null || better(host, best, job)) {
        best = host;
      }
    }
    if (best == null && !narrowed) {
      failures.addNoRoom(job);
    }
    return best;
  }

  /**
   * The exception to the design's order that keeps anybody from starving: a job that has waited for
   * very long, and of which nothing has ever run, comes first with one task; and if that task fits
   * nowhere, the machine with the most room for it takes nothing else in this cycle. Small tasks
   * would fill every gap before it is large enough.
   */
  private void keepRoom(PendingJob pending, TaskId task) {
    MachineView most = null;
    for (MachineView host : hosts) {
      if (host.cpus + 1e-6 >= pending.job.cpus()
          && !host.isReserved()
          && host.kind.allows(pending.job)
          && pending.zoneAllowed(host.kind.zone())
          && !host.hasTraceOf(task)
          && (most == null || host.freeAfterStops.cpus > most.freeAfterStops.cpus)) {
        most = host;
      }
    }
    if (most != null) {
      most.reserve();
    }
  }

  private static boolean better(MachineView a, MachineView b, JobSpec job) {
    boolean nowA = a.free.fits(job);
    if (nowA != b.free.fits(job)) {
      return nowA;
    }
    if (Math.abs(a.cpus - b.cpus) > 1e-6) {
      return a.cpus < b.cpus;
    }
    boolean heldByA = a.hasImage(job.image());
    if (heldByA != b.hasImage(job.image())) {
      return heldByA;
    }
    if (a.kind.spot() != b.kind.spot()) {
      return a.kind.spot();
    }
    int setA = a.sharingRank(job.team());
    int setB = b.sharingRank(job.team());
    if (setA != setB) {
      return setA < setB;
    }
    return a.freeAfterStops.cpus < b.freeAfterStops.cpus - 1e-6;
  }

  /**
   * Makes room on the host where that wastes the least work, by stops that the protocol allows;
   * null if nowhere.
   */
  private MachineView preempt(PendingJob pending, TaskId task, Team team) {
    JobSpec job = pending.job;
    boolean guaranteed = team.withinGuarantee(job);
    if (failures.noVictims(job, guaranteed)) {
      return null;
    }
    MachineView best = null;
    List<PlacedTask> bestVictims = null;
    double bestLoss = Double.POSITIVE_INFINITY;
    boolean narrowed = false;
    for (MachineView host : hosts) {
      if (!mayHaveVictims(host, job, guaranteed)) {
        continue;
      }
      if (!pending.zoneAllowed(host.kind.zone()) || host.hasTraceOf(task)) {
        narrowed = true;
        continue;
      }
      List<PlacedTask> victims = victims(host, job, guaranteed);
      double loss = victims == null ? Double.POSITIVE_INFINITY : loss(victims);
      if (loss < bestLoss) {
        best = host;
        bestVictims = victims;
        bestLoss = loss;
      }
    }
    if (best == null) {
      if (!narrowed) {
        failures.addNoVictims(job, guaranteed);
      }
      return null;
    }
    for (PlacedTask victim : bestVictims) {
      best.evict(victim);
      teams.get(victim.job().team()).share(victim.job(), tuning, -1);
      stops.add(
          new SchedulingPlan.Preemption(
              victim.task(),
              best.id,
              guaranteed ? "the guarantee of " + job.team() : "higher priority of " + job.id()));
    }
    failures.onRoomMade();
    return best;
  }

  private static boolean mayHaveVictims(MachineView host, JobSpec job, boolean guaranteed) {
    boolean lower = host.hasLowerPriority(job.priority().rank());
    boolean others = guaranteed && host.hasOtherTeams(job.team());
    return (lower || others) && host.kind.allows(job) && !host.isReserved();
  }

  /** The work that stopping these tasks would waste. */
  private double loss(List<PlacedTask> victims) {
    return victims.stream().mapToDouble(this::loss).sum();
  }

  private double loss(PlacedTask victim) {
    return victim.lostWorkS(now) * tuning.cost(victim.job());
  }

  /** The tasks to stop on a host so that the job's task fits there; null when that cannot be. */
  private List<PlacedTask> victims(MachineView host, JobSpec job, boolean guaranteed) {
    List<PlacedTask> candidates = candidates(host, job, guaranteed);
    Resources room = host.freeAfterStops.copy();
    List<PlacedTask> victims = new ArrayList<>();
    Map<String, Resources> taken = new HashMap<>();
    for (PlacedTask slot : candidates) {
      if (room.fits(job)) {
        break;
      }
      boolean lower =
          slot.job().priority().rank() < job.priority().rank()
              && (guaranteed || slot.job().team().equals(job.team()));
      Resources sum = taken.computeIfAbsent(slot.job().team(), t -> new Resources(0, 0, 0));
      sum.add(slot.job());
      // Several victims of one team may together reach into its guarantee even if none does alone.
      if (!lower && teams.get(slot.job().team()).guaranteeReachedBy(sum)) {
        sum.subtract(slot.job());
        continue;
      }
      victims.add(slot);
      room.add(slot.job());
    }
    return room.fits(job) && !victims.isEmpty() ? victims : null;
  }

  /** Tasks that may be stopped for the job by the rules of preemption, the least loss first. */
  private List<PlacedTask> candidates(MachineView host, JobSpec job, boolean guaranteed) {
    List<PlacedTask> candidates = new ArrayList<>();
    for (PlacedTask slot : host.preemptibleTasks) {
      Team owner = teams.get(slot.job().team());
      if (owner == null) {
        continue;
      }
      boolean lower = slot.job().priority().rank() < job.priority().rank();
      boolean own = slot.job().team().equals(job.team());
      // Of two teams only the one within its guarantee may stop the other, or they would take turns
      // at it.
      if ((lower && (guaranteed || own))
          || ((lower || (guaranteed && !own)) && owner.beyondGuarantee(slot.job()))) {
        candidates.add(slot);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }
}
