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
 * A reference implementation of the scheduling cycle without optimizations: it examines every
 * machine for every task. {@link SchedulingCycleEquivalenceTest} compares the plans of {@link
 * SchedulingCycle} with its plans. It deliberately duplicates the rules of the cycle in one file,
 * without using the classes that implement them, so that a fault in those classes is detected. It
 * does not support overdue jobs.
 */
final class ReferenceCycle {
  private static final double EPSILON = 1e-6;

  /**
   * A queue entry: a pending job, or one evicted task that may only be placed again on its own
   * machine.
   */
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

  /** Runs a cycle; running tasks are evicted only if {@code evict} is true. */
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
   * Evicts preemptible tasks from their machines, in memory only: among tasks of equal priority,
   * only tasks that a team runs beyond its guarantee, and only to give another team its guarantee.
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
    Set<String> teamsWithEvictions = new HashSet<>();
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
        teamsWithEvictions.add(name);
      }
    }
    // Evicted tasks are placed before the other entries of the same priority.
    for (String name : teamsWithEvictions) {
      queueOf(name).sort(Comparator.comparingInt(entry -> -entry.job().priority().rank()));
    }
  }

  /** The sort key of a team, computed from the next entry of its queue. */
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

  /** Places one task of the entry; returns whether the entry is finished and leaves the queue. */
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
    QuotaUsage usageBefore = team.quotaUsage();
    team.addLaunched(job, settings);
    machine.place(job);
    if (machine.freeNow().fits(job)) {
      machine.freeNow().subtract(job);
      placements.add(new SchedulingPlan.Placement(task, machine.id(), false, usageBefore));
    }
    return pending.isEmpty();
  }

  private void placeEvicted(PlacedTask evicted, MachineView machine, Team team) {
    JobSpec job = evicted.job();
    if (machine.freeAfterStops().fits(job)) {
      machine.place(job);
      team.addToShare(job, settings);
    } else {
      preemptions.add(
          new SchedulingPlan.Preemption(
              evicted.task(), machine.id(), new PreemptionReason.EvictedForGuarantee()));
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
    return machine.kind().isAllowedFor(pending.job())
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
   * Preempts tasks on the machine where the least work is lost. Only tasks that the protocol allows
   * to preempt are considered. Returns the machine, or null if there is none.
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
    Resources free = machine.freeAfterStops().copy();
    List<PlacedTask> victims = new ArrayList<>();
    Map<String, Resources> preemptedByTeam = new HashMap<>();
    for (PlacedTask task : candidates(machine, job, guaranteed)) {
      if (free.fits(job)) {
        break;
      }
      String team = task.job().team();
      boolean regardlessOfGuarantee =
          task.job().priority().rank() < job.priority().rank()
              && (guaranteed || team.equals(job.team()));
      Resources preempted = preemptedByTeam.computeIfAbsent(team, name -> new Resources(0, 0, 0));
      preempted.add(task.job());
      // Several victims of one team may together reduce its share below its guarantee even if none
      // of them does so alone.
      if (!regardlessOfGuarantee && isBelowGuaranteeWithout(team(team), preempted)) {
        preempted.subtract(task.job());
        continue;
      }
      victims.add(task);
      free.add(task.job());
    }
    return free.fits(job) && !victims.isEmpty() ? victims : null;
  }

  private static boolean isBelowGuaranteeWithout(Team owner, Resources preempted) {
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
      boolean hasLowerPriority = task.job().priority().rank() < job.priority().rank();
      boolean sameTeam = task.job().team().equals(job.team());
      // Between two teams, a task may reduce the other team's share below its guarantee only if it
      // is within its own team's guarantee; otherwise the teams would preempt each other in turn.
      if ((hasLowerPriority && (guaranteed || sameTeam))
          || ((hasLowerPriority || (guaranteed && !sameTeam))
              && owner.isGuaranteeMetWithout(task.job()))) {
        candidates.add(task);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }
}
