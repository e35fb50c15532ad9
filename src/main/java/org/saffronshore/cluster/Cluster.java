package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.config.Settings.Address;
import org.saffronshore.fleet.Arrivals;
import org.saffronshore.fleet.DisplacedTasks;
import org.saffronshore.fleet.Forecast;
import org.saffronshore.http.Loop;
import org.saffronshore.scheduling.Host;
import org.saffronshore.scheduling.PendingJob;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.InvalidField;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.Report;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one leader knows during its term: machines, and where every task is or may be. It is made
 * anew from the state service and from reports in every term. A task counts as being on a machine
 * until there is proof that it is not and cannot come to be there: a newer report, a newer session,
 * a lease that must have run out, or the cloud's word that the machine is gone.
 */
public final class Cluster {
  private static final Logger LOG = LoggerFactory.getLogger(Cluster.class);

  /**
   * Attempts of one term are numbered from the term, so that no two terms ever use a number twice.
   */
  static final int TERM_SHIFT = 24;

  /** A machine that fails this many tasks in a row is not trusted any more. */
  public static final int MAX_CONSECUTIVE_FAILURES = 2;

  /** A machine counts as silent when it has let this many reports be missed. */
  private static final double MISSED_REPORTS = 1.4;

  /** The rate at which jobs come is taken over twice this share of a lease. */
  private static final double RATE_LEASES = 0.5;

  /** Reports of machines that are gone may come late, but not by so many leases. */
  private static final double GONE_LEASES = 20;

  private final Loop loop;
  private final Settings settings;
  private final long term;

  /** Version of the leader's key: jobs accepted later cannot have been started by anyone else. */
  private final long termVersion;

  private final double startedAt;

  /** This node has not stood still since then. */
  private double awakeSince;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Since when machines are gone; the longest ago first. */
  private final Map<String, Double> removed = new LinkedHashMap<>();

  private Map<String, MachineType> types = Map.of();

  /** Machines that may hold tasks of earlier terms and have not been heard in this one. */
  private final Set<Machine> unconfirmed = new LinkedHashSet<>();

  private final RunTimes runs = new RunTimes();
  private final Arrivals arrivals;
  private long lastAttempt;
  private boolean changed;
  private final CommandDispatcher dispatcher;
  private final Views views;
  private final Reports reports;
  private final Dependencies dependencies = new Dependencies();
  private final Set<Job> unsaved = new LinkedHashSet<>();
  private final Set<Job> complete = new LinkedHashSet<>();
  private final Set<Job> awaitingLaunchMark = new LinkedHashSet<>();
  private final MachineRegistry registry;
  private final UnresponsiveMachineDetector unresponsiveMachines;

  public Cluster(Loop loop, Settings settings, long term, long termVersion) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.termVersion = termVersion;
    this.startedAt = loop.now();
    this.awakeSince = startedAt;
    this.arrivals = new Arrivals(RATE_LEASES * settings.leaseS());
    this.dispatcher = new CommandDispatcher(this, loop, settings);
    this.views = new Views(this, loop, settings);
    this.reports = new Reports(this, loop, settings);
    this.registry = new MachineRegistry(this, loop);
    this.unresponsiveMachines = new UnresponsiveMachineDetector(this, loop, settings);
  }

  public long term() {
    return term;
  }

  public double startedAt() {
    return startedAt;
  }

  public Map<String, MachineType> types() {
    return types;
  }

  public void types(Map<String, MachineType> newTypes) {
    if (!newTypes.equals(types)) {
      types = newTypes;
      machines.values().forEach(Machine::changed);
      changed = true;
    }
  }

  /** Null as long as the machine's type, or all types, are not known. */
  MachineType typeOf(Machine m) {
    return m.type == null ? null : types.get(m.type);
  }

  /** Which machines the next leader must know of. */
  public MachineRegistry registry() {
    return registry;
  }

  /** Which machines hear nothing of what they are told. */
  public UnresponsiveMachineDetector unresponsiveMachines() {
    return unresponsiveMachines;
  }

  /** Something has happened that may let a task be placed. */
  void changed() {
    changed = true;
  }

  void commandsDue(Machine m) {
    dispatcher.due(m);
  }

  boolean hasCommands(Machine m) {
    return dispatcher.hasCommands(m);
  }

  RunTimes runs() {
    return runs;
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Machine machine(String id) {
    return machines.get(id);
  }

  public Collection<Job> jobs() {
    return jobs.values();
  }

  public Job job(String id) {
    return jobs.get(id);
  }

  public boolean isRemoved(String machine) {
    return removed.containsKey(machine);
  }

  public boolean isUnconfirmed(Machine m) {
    return unconfirmed.contains(m);
  }

  Set<Machine> unconfirmed() {
    return unconfirmed;
  }

  public int unconfirmedCount() {
    return unconfirmed.size();
  }

  /** Whether anything happened since the last call that may let a task be placed. */
  public boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** A machine that may have commands waiting, or null. */
  public Machine nextMachineWithCommands() {
    return dispatcher.next();
  }

  /** Jobs with finished tasks that the state service does not know of yet. */
  public Set<Job> unsaved() {
    return unsaved;
  }

  /** Jobs with tasks that are placed, and go out once it is written down that they may have. */
  public Set<Job> awaitingLaunchMark() {
    return awaitingLaunchMark;
  }

  /** The state service knows that tasks of the job up to this one may have been launched. */
  public void launchMarkSaved(Job job, int launchMark) {
    job.launchMark = Math.max(job.launchMark, launchMark);
    if (job.launchMark >= job.wantedLaunchMark) {
      awaitingLaunchMark.remove(job);
    }
    job.placed.values().forEach(a -> dispatcher.due(a.machine));
  }

  /** Open jobs whose tasks are all finished. */
  public Set<Job> complete() {
    return complete;
  }

  // Jobs

  /**
   * @param reach no task from this one on was ever launched
   */
  public void addJob(JobSpec spec, long version, long submittedMs, BitSet done, int launchMark) {
    if (jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, version, submittedMs, done, launchMark);
    jobs.put(spec.id(), job);
    dependencies.add(spec.id(), spec.priority(), spec.dependencies());
    if (spec.dependencies().isEmpty()) {
      arrivals.saw(spec, version > termVersion, loop.now());
    } else {
      job.ready = false;
      look(job);
    }
    prioritize();
    for (Machine m : machines.values()) {
      for (Attempt a : m.allAttempts()) {
        if (a.task.job().equals(spec.id()) && a.job == null) {
          throw new IllegalStateException("reports were taken before the jobs were read");
        }
      }
    }
    if (job.complete()) {
      complete.add(job);
    }
    changed = true;
  }

  // Jobs that need others

  /** Which open jobs need which others. */
  public Dependencies dependencies() {
    return dependencies;
  }

  /** How a job ended that others may need: some of them may be ready by that. */
  public void ended(String id, boolean done, long atMs) {
    dependencies.ended(id, done, atMs);
    dependencies.neededBy(id).forEach(needer -> look(jobs.get(needer)));
  }

  private void look(Job job) {
    if (!job.ready && dependencies.ready(job.spec.id())) {
      LOG.debug("job {} is ready: all that it needs is done", job.spec.id());
      job.ready = true;
      job.readyMs = dependencies.readyAtMs(job.spec.id());
      arrivals.saw(job.spec, job.version > termVersion, loop.now());
      changed = true;
    }
  }

  private void prioritize() {
    dependencies
        .newPriorities()
        .forEach(
            (id, priority) -> {
              Job job = jobs.get(id);
              if (job != null && job.spec.priority() != priority) {
                job.reprioritize(priority);
                changed = true;
              }
            });
  }

  /** The job is over: nothing of it may run any longer. */
  public void removeJob(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    dependencies.remove(id);
    prioritize();
    unsaved.remove(job);
    complete.remove(job);
    awaitingLaunchMark.remove(job);
    for (Attempt a : new ArrayList<>(job.placed.values())) {
      stop(a, 0, "its job is over");
    }
    for (Attempt a : new ArrayList<>(job.others)) {
      stop(a, 0, "its job is over");
    }
    changed = true;
  }

  /**
   * Marks finished tasks as known to the state service; their attempts need not be kept any more.
   */
  public void saved(Job job, BitSet tasks) {
    job.saved.or(tasks);
    if (!job.unsaved()) {
      unsaved.remove(job);
    }
  }

  // Machines

  Machine known(String id) {
    return machines.computeIfAbsent(
        id, m -> new Machine(m, MISSED_REPORTS * settings.reportS(), loop.now()));
  }

  /**
   * A machine that an earlier leader gave tasks to, or may have. The longer ago it is sure to have
   * existed, the sooner a list of the cloud that lacks it proves that it is gone.
   *
   * @param held all that it can hold, or null when that may be anything
   */
  public void addRegistered(String id, double ageS, Set<TaskId> held) {
    Machine m = known(id);
    m.registered = held == null;
    m.frozen = held != null;
    m.registryWriteInFlight = true;
    m.held = held;
    m.knownSince = Math.min(m.knownSince, loop.now() - Math.max(0, ageS));
    if (!m.confirmed) {
      m.answeredAt = Math.max(m.answeredAt, startedAt);
      unconfirmed.add(m);
      dispatcher.due(m);
    }
  }

  public void rented(String id, String type, String zone, boolean spot, double requestedAt) {
    if (removed.containsKey(id)) {
      return;
    }
    Machine m = known(id);
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.rentedAt = requestedAt;
  }

  /** One line of the cloud's list. */
  public void listed(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean failed,
      double ageS) {
    if (removed.containsKey(id)) {
      return;
    }
    Machine m = machines.get(id);
    if (m == null) {
      m = known(id);
      m.rentedAt = loop.now() - ageS;
      LOG.debug(
          "machine {} ({} in {}, spot {}) is in the cloud's list, and was not known",
          id,
          type,
          zone,
          spot);
    }
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    setAddress(m, address);
    if (isUnconfirmed(m) && !m.up) {
      dispatcher.due(m);
    }
    if (failed && !m.failed) {
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
  public void listedOnly(Set<String> ids, double requestedAt) {
    double before =
        requestedAt - Settings.longestLocalTime(2.25 * settings.listLagS() + settings.reportS());
    for (Machine m : new ArrayList<>(machines.values())) {
      if (!ids.contains(m.id) && m.knownSince < before) {
        removed(m, "the cloud does not list it any more");
      }
    }
  }

  /** The machine does not exist any more, and nothing on it. */
  public void removed(Machine m, String why) {
    LOG.debug("machine {} is gone: {}; it held {} tasks", m.id, why, m.attempts.size());
    release(m);
    machines.remove(m.id);
    removed.put(m.id, loop.now());
    registry.removed(m);
    removed.values().removeIf(since -> since < loop.now() - GONE_LEASES * settings.leaseS());
  }

  private void release(Machine m) {
    for (Attempt a : m.allAttempts()) {
      endAttempt(a);
    }
    m.exited.clear();
    m.idleSince = loop.now();
    unconfirmed.remove(m);
    changed = true;
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  public void returning(Machine m) {
    m.returning = true;
    changed = true;
  }

  /**
   * Ends every machine whose lease must have run out since the last answer that it can have had.
   */
  public void expireLeases() {
    double now = loop.now();
    for (Machine m : machines.values()) {
      boolean addPossiblyHeld = m.up || unconfirmed.contains(m);
      if (addPossiblyHeld
          && now
              > m.answeredAt
                  + Settings.longestLocalTime(settings.leaseS())
                  + settings.reportS() / 30) {
        LOG.debug(
            "machine {} counts as lost: nothing heard, and its lease is over; it held {} tasks",
            m.id,
            m.attempts.size());
        m.deadSession = Math.max(m.deadSession, m.session);
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
  public void stoodStill() {
    awakeSince = loop.now();
    machines.values().forEach(m -> m.ownReportAt = awakeSince);
  }

  double awakeSince() {
    return awakeSince;
  }

  /** Whether most machines that are up have not been heard for a while. */
  public boolean mostlySilent(double forS) {
    int up = 0;
    int silent = 0;
    for (Machine m : machines.values()) {
      if (m.up) {
        up++;
        silent += loop.now() > m.ownReportAt + forS ? 1 : 0;
      }
    }
    return silent * 2 > up;
  }

  static void setAddress(Machine m, String address) {
    if (m.address == null && address != null) {
      try {
        m.address = Address.parse("Address", address);
      } catch (InvalidField e) {
        LOG.warn("machine {} has no usable address: {}", m.id, e.getMessage());
      }
    }
  }

  // Reports

  /** Takes a report that the worker sent by itself, and that is going to be answered with 200. */
  public Machine reported(Report r) {
    return reports.reported(r);
  }

  /** Takes the report in a worker's answer to a direct command, which renews no lease. */
  public void answered(Machine m, Report r) {
    reports.answered(m, r);
  }

  /**
   * Nothing of the attempt runs or can come to run: the task may be placed again unless it is done.
   */
  void endAttempt(Attempt a) {
    Machine m = a.machine;
    m.changed();
    m.attempts.remove(a.task, a);
    if (m.attempts.isEmpty() && !Double.isFinite(m.idleSince)) {
      m.idleSince = loop.now();
    }
    changed = true;
    Job job = jobs.get(a.task.job());
    if (job != null && a.task.index() < job.spec.tasks()) {
      job.leave(a);
    }
  }

  // Orders

  public void place(TaskId task, String machineId) {
    place(task, machineId, false);
  }

  public void place(TaskId task, String machineId, boolean overdue) {
    Machine m = machines.get(machineId);
    Job job = jobs.get(task.job());
    if (m == null || job == null || !job.waiting.get(task.index()) || !m.usable(loop.now())) {
      return;
    }
    Attempt a = new Attempt(task, (term << TERM_SHIFT) + ++lastAttempt, m, job.spec, loop.now());
    a.overdue = overdue;
    job.enter(a);
    m.attempts.put(task, a);
    m.changed();
    m.idleSince = Double.POSITIVE_INFINITY;
    reports.useImage(m, a);
    if (job.launchable(task.index())) {
      dispatcher.due(m);
    } else {
      job.requestLaunchMark(task.index());
      awaitingLaunchMark.add(job);
    }
  }

  public void stop(TaskId task, String machineId, String why) {
    Machine m = machines.get(machineId);
    Attempt a = m == null ? null : m.attempts.get(task);
    if (a != null) {
      double grace = a.job != null && a.job.saves() ? a.job.saveS() + settings.reportS() : 0;
      stop(a, grace, why);
    }
  }

  void stop(Attempt a, double graceS, String why) {
    if (!a.stopping) {
      LOG.debug("stopping task {} on {}: {}", a.task, a.machine.id, why);
    } else if (graceS >= a.graceS) {
      return;
    }
    a.stopping = true;
    a.machine.changed();
    a.graceS = graceS;
    a.stopSentAt = Double.NEGATIVE_INFINITY;
    if (a.state == Attempt.State.SENDING && !a.sent) {
      endAttempt(a);
    } else {
      dispatcher.due(a.machine);
    }
  }

  /**
   * The cloud is going to take a machine away: tasks that save do so now, and those that cannot end
   * in time go elsewhere at once. The notice may be off by half, so only what needs clearly less is
   * left to run to its end.
   */
  void drain(Machine m, double noticeS) {
    double now = loop.now();
    for (Attempt a : m.allAttempts()) {
      if (a.job == null || a.stopping) {
        continue;
      }
      double left = runs.remainingS(a, now);
      if (a.job.saves() ? left > noticeS / 2 : left > noticeS * 3 / 2) {
        stop(a.task, m.id, "the machine is to be taken back");
      }
    }
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
          || runs.remainingS(a, now) < 4 * a.job.saveS()) {
        return false;
      }
    }
    return true;
  }

  /** Stops what is on a machine, with time to save, so that it goes on elsewhere. */
  public void empty(Machine m) {
    m.draining = true;
    for (Attempt a : m.allAttempts()) {
      stop(a.task, m.id, "the machine is to be returned");
    }
  }

  public Arrivals arrivals() {
    return arrivals;
  }

  double remainingS(Attempt a, double now) {
    return runs.remainingS(a, now);
  }

  public double lastsS(JobSpec job) {
    return runs.lastsS(job);
  }

  // Calls

  /** A direct call that is ready to go, with the launches in it. */
  public record CommandBatch(
      Machine machine, long session, List<Command> commands, List<Attempt> launches) {}

  /** What to send to a machine now, or null. */
  public CommandBatch call(Machine m) {
    return dispatcher.call(m);
  }

  /** What became of a call: 200, 409, not sent, or anything else, which may yet be carried out. */
  public void called(CommandBatch call, boolean executed, boolean surelyNot, Report report) {
    dispatcher.called(call, executed, surelyNot, report);
  }

  /** Machines whose calls failed and may be tried again. */
  public void retryCommands() {
    dispatcher.retry();
  }

  /**
   * Commands for the answer to a report: stops, what may be forgotten, and launches whose delivery
   * is in doubt.
   */
  public List<Command> responseCommands(Machine m) {
    return dispatcher.responseCommands(m);
  }

  // Views

  /**
   * Machines of earlier terms that are not accounted for may still hold tasks that are older than
   * this term.
   */
  boolean mayBeUnseen(Job job) {
    return !unconfirmed.isEmpty() && job.version < termVersion;
  }

  /**
   * Whether a task of the job may be on a machine that is not accounted for, in a zone that nobody
   * knows here.
   */
  boolean zoneUnseen(Job job) {
    return mayBeUnseen(job)
        && unconfirmed.stream()
            .anyMatch(
                m ->
                    m.held == null
                        ? !job.launchedBefore().isEmpty()
                        : m.held.stream()
                            .anyMatch(
                                t -> t.job().equals(job.spec.id()) && job.waiting.get(t.index())));
  }

  /**
   * Whether one of the machines not accounted for may hold anything, and not only what was written
   * down.
   */
  boolean anythingUnseen() {
    return unconfirmed.stream().anyMatch(m -> m.held == null);
  }

  public String summary() {
    return views.summary();
  }

  public Resources freeOn(Machine m) {
    return views.freeOn(m);
  }

  public List<Forecast.Line> lines(double lateBoot, boolean released) {
    return views.lines(lateBoot, released);
  }

  public List<DisplacedTasks.Running> runningOn(Set<String> someTypes) {
    return views.runningOn(someTypes);
  }

  public List<Host> hosts() {
    return views.hosts();
  }

  /**
   * @param written whether it can be written down that more tasks may be launched; if not, they
   *     have to wait
   */
  public List<PendingJob> pending(boolean written) {
    return views.pending(written);
  }

  public Map<String, Team> teams(SchedulingSettings tuning, Map<String, Double> weights) {
    return views.teams(tuning, weights);
  }
}
