package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.Arrivals;
import org.saffronshore.http.Loop;
import org.saffronshore.wire.Command;
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

  /** The rate at which jobs come is taken over twice this share of a lease. */
  private static final double RATE_LEASES = 0.5;

  private final Loop loop;
  private final Settings settings;
  private final long term;

  private final double startedAt;
  private final JobTable jobs;
  private final MachineTable machines;

  private Map<String, MachineType> types = Map.of();

  private final RunTimes runs = new RunTimes();
  private final Arrivals arrivals;
  private long lastAttempt;
  private boolean changed;
  private final CommandDispatcher dispatcher;
  private final Views views;
  private final Reports reports;
  private final MachineRegistry registry;
  private final UnresponsiveMachineDetector unresponsiveMachines;

  /** Starts a term with nothing known. */
  public Cluster(Loop loop, Settings settings, long term, long termVersion) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.startedAt = loop.now();
    this.arrivals = new Arrivals(RATE_LEASES * settings.leaseS());
    this.jobs = new JobTable(loop, arrivals, termVersion, this::changed);
    this.machines = new MachineTable(this, loop, settings);
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

  /** Takes the cloud's current machine types. */
  public void types(Map<String, MachineType> newTypes) {
    if (!newTypes.equals(types)) {
      types = newTypes;
      machines.all().forEach(Machine::changed);
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

  /** Machines whose reports arrive and that receive nothing. */
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
    return machines.all();
  }

  public Machine machine(String id) {
    return machines.get(id);
  }

  public Collection<Job> jobs() {
    return jobs.all();
  }

  public Job job(String id) {
    return jobs.get(id);
  }

  public boolean isRemoved(String machine) {
    return machines.isRemoved(machine);
  }

  public boolean isUnconfirmed(Machine m) {
    return machines.unconfirmed().contains(m);
  }

  Set<Machine> unconfirmed() {
    return machines.unconfirmed();
  }

  public int unconfirmedCount() {
    return machines.unconfirmed().size();
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

  // Jobs

  /** Adds an open job. No task from {@code launchMark} on was ever launched. */
  public void addJob(JobSpec spec, long version, long submittedMs, BitSet done, int launchMark) {
    if (jobs.get(spec.id()) != null) {
      return;
    }
    boolean reported =
        machines.all().stream()
            .flatMap(m -> m.attempts.values().stream())
            .anyMatch(a -> a.job == null && a.task.job().equals(spec.id()));
    if (reported) {
      throw new IllegalStateException("reports were taken before the jobs were read");
    }
    jobs.add(spec, version, submittedMs, done, launchMark);
  }

  /** The job is over: nothing of it may run any longer. */
  public void removeJob(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    unconfirmed().forEach(m -> m.jobEnded(job));
    for (Attempt a : new ArrayList<>(job.placed.values())) {
      stop(a, 0, "its job is over");
    }
    for (Attempt a : new ArrayList<>(job.others)) {
      stop(a, 0, "its job is over");
    }
    changed = true;
  }

  /** Which open jobs need which others. */
  public Dependencies dependencies() {
    return jobs.dependencies();
  }

  /** How a job ended that others may need: some of them may be ready by that. */
  public void ended(String id, boolean done, long atMs) {
    jobs.ended(id, done, atMs);
  }

  /** Jobs with finished tasks that the state service does not know of yet. */
  public Set<Job> unsaved() {
    return jobs.unsaved();
  }

  /** The state service knows these finished tasks; their attempts need not be kept any more. */
  public void saved(Job job, BitSet tasks) {
    jobs.saved(job, tasks);
  }

  /** Open jobs whose tasks are all finished. */
  public Set<Job> complete() {
    return jobs.complete();
  }

  /** Jobs with tasks that are placed, and go out once it is written down that they may have. */
  public Set<Job> awaitingLaunchMark() {
    return jobs.awaitingLaunchMark();
  }

  /** The state service knows that tasks of the job up to this one may have been launched. */
  public void launchMarkSaved(Job job, int launchMark) {
    jobs.launchMarkSaved(job, launchMark);
    job.placed.values().forEach(a -> dispatcher.due(a.machine));
  }

  // Machines

  Machine known(String id) {
    return machines.known(id);
  }

  /** A machine that an earlier leader gave tasks to; see {@link MachineTable#addRegistered}. */
  public void addRegistered(String id, double ageS, Set<TaskId> held) {
    machines.addRegistered(id, ageS, held);
  }

  /** The cloud has answered a rental request with this machine. */
  public void rented(String id, String type, String zone, boolean spot, double requestedAt) {
    machines.rented(id, type, zone, spot, requestedAt);
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
    machines.listed(id, address, type, zone, spot, failed, ageS);
  }

  /** Drops what a complete list of the cloud lacks; see {@link MachineTable#listedOnly}. */
  public void listedOnly(Set<String> ids, double requestedAt) {
    machines.listedOnly(ids, requestedAt);
  }

  /** The machine does not exist any more, and nothing on it. */
  public void removed(Machine m, String why) {
    machines.removed(m, why);
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  public void returning(Machine m) {
    machines.returning(m);
  }

  /**
   * Ends every machine whose lease must have run out since the last answer that it can have had.
   */
  public void expireLeases() {
    machines.expireLeases();
  }

  /** This node stood still until now; see {@link MachineTable#stoodStill}. */
  public void stoodStill() {
    machines.stoodStill();
  }

  double awakeSince() {
    return machines.awakeSince();
  }

  /** Whether most machines that are up have not been heard for a while. */
  public boolean mostlySilent(double forS) {
    return machines.mostlySilent(forS);
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

  // Placements

  /** Starts an attempt at a task on a machine, if both are still free for that. */
  public Optional<Attempt> place(TaskId task, String machineId) {
    return place(task, machineId, false);
  }

  /**
   * Starts an attempt at a task on a machine, if both are still free for that.
   *
   * @param overdue whether the task is not to be stopped for others
   */
  public Optional<Attempt> place(TaskId task, String machineId, boolean overdue) {
    Machine m = machines.get(machineId);
    Job job = jobs.get(task.job());
    if (m == null || job == null || !job.waiting.get(task.index()) || !m.usable(loop.now())) {
      return Optional.empty();
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
      jobs.awaitingLaunchMark().add(job);
    }
    return Optional.of(a);
  }

  /** Stops a task, with time to save its progress where it can. */
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
      LOG.debug("stopping task {} on {}: {}; attempt={}", a.task, a.machine.id, why, a.number);
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

  // Commands

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
    return !unconfirmed().isEmpty() && jobs.olderThanTerm(job);
  }

  /**
   * Whether a task of the job may be on a machine that is not accounted for, in a zone that nobody
   * knows here.
   */
  boolean zoneUnseen(Job job) {
    if (!mayBeUnseen(job)) {
      return false;
    }
    BitSet tasks = job.launchedUnconfirmed();
    return !tasks.isEmpty() && unconfirmed().stream().anyMatch(m -> m.mayHold(job, tasks));
  }

  /**
   * Whether one of the machines not accounted for may hold anything, and not only what was written
   * down.
   */
  boolean anythingUnseen() {
    return unconfirmed().stream().anyMatch(m -> m.held == null);
  }

  /** The cluster as the scheduling cycle and the autoscaler look at it. */
  public Views views() {
    return views;
  }
}
