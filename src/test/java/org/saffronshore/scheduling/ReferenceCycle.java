package org.saffronshore.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * The cycle without anything that only makes it faster: it looks at every machine for every task.
 * {@link SchedulingCycleEquivalenceTest} compares the plans of the real one with its plans. It
 * repeats the rules of the real cycle on purpose, in one file and without its classes, so that a
 * fault in those shows; it leaves out overdue jobs.
 */
final class ReferenceCycle {
  private static final double EPSILON = 1e-6;

  /** A queue entry: a pending job, or one evicted task that may only return to its own machine. */
  private record Entry(
      @Nullable PendingJob pending,
      @Nullable PlacedTask evicted,
      @Nullable MachineView evictedFrom) {
    JobSpec job() {
      return evicted != null ? evicted.job() : Objects.requireNonNull(pending).job();
    }
  }

  private final Collection<MachineView> machines;
  private final Map<String, Team> teams;
  private final SchedulingSettings settings;
  private final Map<String, List<Entry>> queues = new LinkedHashMap<>();
  private final List<SchedulingPlan.Placement> placements = new ArrayList<>();
  private final List<SchedulingPlan.Preemption> preemptions = new ArrayList<>();
  private final List<SchedulingPlan.QuotaLimitedTasks> quotaLimited = new ArrayList<>();
  private final Map<PendingJob, Integer> unplaced = new LinkedHashMap<>();
  private final double now;

  private ReferenceCycle(
      Collection<MachineView> machines,
      Map<String, Team> teams,
      SchedulingSettings settings,
      double now) {
    this.machines = machines;
    this.teams = teams;
    this.settings = settings;
    this.now = now;
  }

  /** Runs a cycle; only one with {@code evict} reconsiders tasks that are running. */
  static SchedulingPlan run(
      Collection<MachineView> machines,
      Collection<PendingJob> jobs,
      Map<String, Team> teams,
      SchedulingSettings settings,
      boolean evict,
      RandomGenerator random,
      double now) {
    ReferenceCycle cycle = new ReferenceCycle(machines, teams, settings, now);
    cycle.queue(jobs);
    if (evict) {
      cycle.evict(random);
    }
    cycle.placeAll();
    List<SchedulingPlan.UnplacedTasks> unplaced = new ArrayList<>();
    cycle.unplaced.forEach(
        (pending, tasks) -> unplaced.add(new SchedulingPlan.UnplacedTasks(pending.job(), tasks)));
    return new SchedulingPlan(cycle.placements, cycle.preemptions, unplaced, cycle.quotaLimited);
  }

  private Team team(String name) {
    return Objects.requireNonNull(teams.get(name));
  }

  private List<Entry> queueOf(String team) {
    return queues.computeIfAbsent(team, name -> new ArrayList<>());
  }

  private void queue(Collection<PendingJob> jobs) {
    List<PendingJob> ordered = new ArrayList<>(jobs);
    ordered.sort(
        Comparator.comparing((PendingJob pending) -> -pending.job().priority().rank())
            .thenComparing(PendingJob::submissionOrder));
    for (PendingJob pending : ordered) {
      if (!pending.isEmpty() && teams.containsKey(pending.job().team())) {
        queueOf(pending.job().team()).add(new Entry(pending, null, null));
      }
    }
  }

  /**
   * Takes preemptible tasks off their machines, in memory only: among equals, only what a team runs
   * beyond its guarantee, and only to give another its guarantee.
   */
  private void evict(RandomGenerator random) {
    Set<String> belowGuarantee = new HashSet<>();
    queues.forEach(
        (name, queue) -> {
          if (queue.stream().anyMatch(entry -> team(name).isWithinGuaranteeWith(entry.job()))) {
            belowGuarantee.add(name);
          }
        });
    if (belowGuarantee.isEmpty()) {
      return;
    }
    Set<String> changed = new HashSet<>();
    for (MachineView machine : machines) {
      if (random.nextDouble() >= settings.evictionProbability()) {
        continue;
      }
      for (PlacedTask task : List.copyOf(machine.preemptibleTasks())) {
        String name = task.job().team();
        Team owner = teams.get(name);
        if (owner == null
            || belowGuarantee.contains(name)
            || !owner.isGuaranteeMetWithout(task.job())) {
          continue;
        }
        machine.evict(task);
        owner.removeFromShare(task.job(), settings);
        queueOf(name).add(0, new Entry(null, task, machine));
        changed.add(name);
      }
    }
    // Evicted tasks head their queues, in each priority.
    for (String name : changed) {
      queueOf(name).sort(Comparator.comparingInt(entry -> -entry.job().priority().rank()));
    }
  }

  /** What the next entry of a team stands for when teams are compared. */
  private record Head(String team, boolean guaranteed, int priority, double fraction, int index) {
    static final Comparator<Head> ORDER =
        Comparator.comparing((Head head) -> !head.guaranteed)
            .thenComparingInt(head -> -head.priority)
            .thenComparingDouble(Head::fraction)
            .thenComparingInt(Head::index);
  }

  private void placeAll() {
    PriorityQueue<Head> heads = new PriorityQueue<>(Head.ORDER);
    Map<String, Integer> positions = new HashMap<>();
    List<String> names = new ArrayList<>(queues.keySet());
    for (int i = 0; i < names.size(); i++) {
      heads.add(head(names.get(i), 0, i));
    }
    while (!heads.isEmpty()) {
      Head head = heads.remove();
      List<Entry> queue = queueOf(head.team);
      int position = positions.getOrDefault(head.team, 0);
      if (placeNext(queue.get(position), team(head.team))) {
        positions.put(head.team, ++position);
      }
      if (position < queue.size()) {
        heads.add(head(head.team, position, head.index));
      }
    }
  }

  private Head head(String name, int position, int index) {
    JobSpec job = queueOf(name).get(position).job();
    Team team = team(name);
    return new Head(
        name,
        team.isWithinGuaranteeWith(job),
        job.priority().rank(),
        team.fractionOfShareWith(settings.cost(job)),
        index);
  }

  /** Places one task of the entry; true when the entry has nothing more to place. */
  private boolean placeNext(Entry entry, Team team) {
    if (entry.evicted != null) {
      placeEvicted(entry.evicted, Objects.requireNonNull(entry.evictedFrom), team);
      return true;
    }
    PendingJob pending = Objects.requireNonNull(entry.pending);
    JobSpec job = pending.job();
    if (!team.isWithinLimitWith(job)) {
      quotaLimited.add(
          new SchedulingPlan.QuotaLimitedTasks(
              job,
              pending.remaining(),
              team.isWithinLimitIfReconciledWith(job),
              team.quotaUsage()));
      return true;
    }
    TaskId task = new TaskId(job.id(), pending.nextTask());
    MachineView machine = select(pending, task);
    if (machine == null) {
      machine = preempt(pending, task, team);
    }
    if (machine == null) {
      unplaced.put(pending, team.tasksWithinLimit(job, pending.remaining()));
      return true;
    }
    pending.markNextTaskPlaced(machine.kind().zone());
    QuotaUsage counted = team.quotaUsage();
    team.addLaunched(job, settings);
    machine.place(job);
    if (machine.freeNow().fits(job)) {
      machine.freeNow().subtract(job);
      placements.add(new SchedulingPlan.Placement(task, machine.id(), false, counted));
    }
    return pending.isEmpty();
  }

  private void placeEvicted(PlacedTask evicted, MachineView home, Team team) {
    JobSpec job = evicted.job();
    if (home.freeAfterStops().fits(job)) {
      home.place(job);
      team.addToShare(job, settings);
    } else {
      preemptions.add(
          new SchedulingPlan.Preemption(
              evicted.task(), home.id(), new PreemptionReason.EvictedForGuarantee()));
    }
  }

  private @Nullable MachineView select(PendingJob pending, TaskId task) {
    MachineView best = null;
    for (MachineView machine : machines) {
      if (machine.freeAfterStops().fits(pending.job())
          && isAllowed(machine, pending, task)
          && (best == null || isBetter(machine, best, pending.job()))) {
        best = machine;
      }
    }
    return best;
  }

  private static boolean isAllowed(MachineView machine, PendingJob pending, TaskId task) {
    return machine.kind().allows(pending.job())
        && pending.isZoneAllowed(machine.kind().zone())
        && !machine.hasRecordOf(task);
  }

  private static boolean isBetter(MachineView machine, MachineView best, JobSpec job) {
    boolean fitsNow = machine.freeNow().fits(job);
    if (fitsNow != best.freeNow().fits(job)) {
      return fitsNow;
    }
    if (Math.abs(machine.totalCpus() - best.totalCpus()) > EPSILON) {
      return machine.totalCpus() < best.totalCpus();
    }
    boolean hasImage = machine.hasImage(job.image());
    if (hasImage != best.hasImage(job.image())) {
      return hasImage;
    }
    if (machine.kind().spot() != best.kind().spot()) {
      return machine.kind().spot();
    }
    MachineView.Sharing sharing = machine.sharing(job.team());
    MachineView.Sharing sharingOfBest = best.sharing(job.team());
    if (sharing != sharingOfBest) {
      return sharing.compareTo(sharingOfBest) < 0;
    }
    return machine.freeAfterStops().cpus < best.freeAfterStops().cpus - EPSILON;
  }

  /**
   * Makes room on the machine where that wastes the least work, by preemptions that the protocol
   * allows; null if nowhere.
   */
  private @Nullable MachineView preempt(PendingJob pending, TaskId task, Team team) {
    JobSpec job = pending.job();
    boolean guaranteed = team.isWithinGuaranteeWith(job);
    MachineView best = null;
    List<PlacedTask> bestVictims = List.of();
    double bestLoss = Double.POSITIVE_INFINITY;
    for (MachineView machine : machines) {
      if (!isAllowed(machine, pending, task)) {
        continue;
      }
      List<PlacedTask> victims = victims(machine, job, guaranteed);
      if (victims == null) {
        continue;
      }
      double loss = victims.stream().mapToDouble(this::loss).sum();
      if (loss < bestLoss) {
        best = machine;
        bestVictims = victims;
        bestLoss = loss;
      }
    }
    if (best == null) {
      return null;
    }
    for (PlacedTask victim : bestVictims) {
      best.evict(victim);
      team(victim.job().team()).removeFromShare(victim.job(), settings);
      preemptions.add(
          new SchedulingPlan.Preemption(
              victim.task(),
              best.id(),
              guaranteed
                  ? new PreemptionReason.Guarantee(job.team())
                  : new PreemptionReason.HigherPriority(job.id())));
    }
    return best;
  }

  private double loss(PlacedTask task) {
    return task.lostWorkS(now) * settings.cost(task.job());
  }

  private @Nullable List<PlacedTask> victims(MachineView machine, JobSpec job, boolean guaranteed) {
    Resources room = machine.freeAfterStops().copy();
    List<PlacedTask> victims = new ArrayList<>();
    Map<String, Resources> preemptedByTeam = new HashMap<>();
    for (PlacedTask task : candidates(machine, job, guaranteed)) {
      if (room.fits(job)) {
        break;
      }
      String team = task.job().team();
      boolean lower =
          task.job().priority().rank() < job.priority().rank()
              && (guaranteed || team.equals(job.team()));
      Resources preempted = preemptedByTeam.computeIfAbsent(team, name -> new Resources(0, 0, 0));
      preempted.add(task.job());
      // Several victims of one team may together reach into its guarantee even if none does alone.
      if (!lower && reachesGuarantee(team(team), preempted)) {
        preempted.subtract(task.job());
        continue;
      }
      victims.add(task);
      room.add(task.job());
    }
    return room.fits(job) && !victims.isEmpty() ? victims : null;
  }

  private static boolean reachesGuarantee(Team owner, Resources preempted) {
    return (owner.quota().guaranteedCpus() > 0
            && owner.share().cpus - preempted.cpus < owner.quota().guaranteedCpus() - EPSILON)
        || (owner.quota().guaranteedGpus() > 0
            && owner.share().gpus - preempted.gpus < owner.quota().guaranteedGpus() - EPSILON);
  }

  private List<PlacedTask> candidates(MachineView machine, JobSpec job, boolean guaranteed) {
    List<PlacedTask> candidates = new ArrayList<>();
    for (PlacedTask task : machine.preemptibleTasks()) {
      Team owner = teams.get(task.job().team());
      if (owner == null) {
        continue;
      }
      boolean lower = task.job().priority().rank() < job.priority().rank();
      boolean own = task.job().team().equals(job.team());
      // Of two teams only the one within its guarantee may preempt the other, or they would do so
      // in turn.
      if ((lower && (guaranteed || own))
          || ((lower || (guaranteed && !own)) && owner.isGuaranteeMetWithout(task.job()))) {
        candidates.add(task);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }
}
