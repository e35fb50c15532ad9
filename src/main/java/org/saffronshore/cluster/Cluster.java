package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.MachineType;
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

  private final EventLoop loop;
  private final Settings settings;
  private final long term;
  private final double startedAt;
  private final JobTable jobs;
  private final MachineTable machines;

  private Map<String, MachineType> machineTypes = Map.of();

  private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
  private final ArrivalStatistics arrivals;
  private long lastAttempt;
  private boolean changed;
  private final CommandDispatcher dispatcher;
  private final ClusterView view;
  private final HeartbeatReconciler reports;
  private final MachineRegistry registry;
  private final UnresponsiveMachineDetector unresponsiveMachines;

  /** Starts a term with nothing known. */
  public Cluster(EventLoop loop, Settings settings, long term, long termVersion) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.startedAt = loop.now();
    this.arrivals = new ArrivalStatistics(RATE_LEASES * settings.workerLeaseS());
    this.jobs = new JobTable(loop, arrivals, termVersion, this::markChanged);
    this.machines = new MachineTable(this, loop, settings);
    this.dispatcher = new CommandDispatcher(this, loop, settings);
    this.view = new ClusterView(this, loop, settings);
    this.reports = new HeartbeatReconciler(this, loop, settings);
    this.registry = new MachineRegistry(this, loop);
    this.unresponsiveMachines = new UnresponsiveMachineDetector(this, loop, settings);
  }

  public long term() {
    return term;
  }

  public double startedAt() {
    return startedAt;
  }

  public Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /** Takes the cloud's current machine types. */
  public void machineTypes(Map<String, MachineType> newTypes) {
    if (!newTypes.equals(machineTypes)) {
      machineTypes = newTypes;
      machines.all().forEach(Machine::invalidateView);
      changed = true;
    }
  }

  /** Null as long as the machine's type, or all types, are not known. */
  MachineType typeOf(Machine m) {
    return m.type == null ? null : machineTypes.get(m.type);
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
  void markChanged() {
    changed = true;
  }

  void commandsDue(Machine m) {
    dispatcher.markDue(m);
  }

  boolean hasCommands(Machine m) {
    return dispatcher.hasCommands(m);
  }

  RuntimeEstimator runtimeEstimator() {
    return runtimeEstimator;
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

  public boolean isUnreconciled(Machine m) {
    return machines.unreconciled().contains(m);
  }

  Set<Machine> unreconciled() {
    return machines.unreconciled();
  }

  public int unreconciledCount() {
    return machines.unreconciled().size();
  }

  /** Whether anything happened since the last call that may let a task be placed. */
  public boolean consumeChanged() {
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
    unreconciled().forEach(m -> m.jobEnded(job));
    for (Attempt a : new ArrayList<>(job.placed.values())) {
      stop(a, 0, "its job is over");
    }
    for (Attempt a : new ArrayList<>(job.duplicateAttempts)) {
      stop(a, 0, "its job is over");
    }
    changed = true;
  }

  /** Which open jobs need which others. */
  public DependencyGraph dependencies() {
    return jobs.dependencies();
  }

  /** How a job ended that others may need: some of them may be ready by that. */
  public void jobEnded(String id, boolean done, long atMs) {
    jobs.jobEnded(id, done, atMs);
  }

  /** Jobs with finished tasks that the state service does not know of yet. */
  public Set<Job> jobsWithUnsavedTasks() {
    return jobs.unsavedJobs();
  }

  /** The state service knows these finished tasks; their attempts need not be kept any more. */
  public void finishedTasksSaved(Job job, BitSet tasks) {
    jobs.finishedTasksSaved(job, tasks);
  }

  /** Open jobs whose tasks are all finished. */
  public Set<Job> completedJobs() {
    return jobs.completedJobs();
  }

  /** Jobs with tasks that are placed, and go out once it is written down that they may have. */
  public Set<Job> jobsAwaitingLaunchWatermark() {
    return jobs.awaitingLaunchWatermark();
  }

  /** The state service knows that tasks of the job up to this one may have been launched. */
  public void launchWatermarkSaved(Job job, int launchMark) {
    jobs.launchWatermarkSaved(job, launchMark);
    job.placed.values().forEach(a -> dispatcher.markDue(a.machine));
  }

  // Machines

  Machine getOrCreate(String id) {
    return machines.getOrCreate(id);
  }

  /** A machine that an earlier leader gave tasks to; see {@link MachineTable#addRegistered}. */
  public void addRegistered(String id, double ageS, Set<TaskId> held) {
    machines.addRegistered(id, ageS, held);
  }

  /** The cloud has answered a rental request with this machine. */
  public void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    machines.machineRented(id, type, zone, spot, requestedAt);
  }

  /** One line of the cloud's list. */
  public void machineListed(ListedMachine listed) {
    machines.machineListed(listed);
  }

  /** Drops what a complete list of the cloud lacks; see {@link MachineTable#removeUnlisted}. */
  public void removeUnlisted(Set<String> ids, double requestedAt) {
    machines.removeUnlisted(ids, requestedAt);
  }

  /** The machine does not exist any more, and nothing on it. */
  public void machineRemoved(Machine m, String why) {
    machines.machineRemoved(m, why);
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  public void markReturning(Machine m) {
    machines.markReturning(m);
  }

  /**
   * Ends every machine whose lease must have run out since the last answer that it can have had.
   */
  public void expireLeases() {
    machines.expireLeases();
  }

  /** This node stood still until now; see {@link MachineTable#onProcessPause}. */
  public void onProcessPause() {
    machines.onProcessPause();
  }

  double resumedAt() {
    return machines.resumedAt();
  }

  /** Whether most machines that are up have not been heard for a while. */
  public boolean isMostlySilent(double forS) {
    return machines.isMostlySilent(forS);
  }

  // Reports

  /** Takes a report that the worker sent by itself, and that is going to be answered with 200. */
  public Machine heartbeatReceived(Heartbeat r) {
    return reports.heartbeatReceived(r);
  }

  /** Takes the report in a worker's answer to a direct command, which renews no lease. */
  public void directStatusReceived(Machine m, Heartbeat r) {
    reports.directStatusReceived(m, r);
  }

  /**
   * Nothing of the attempt runs or can come to run: the task may be placed again unless it is done.
   */
  void endAttempt(Attempt a) {
    Machine m = a.machine;
    m.invalidateView();
    m.attempts.remove(a.task, a);
    if (m.attempts.isEmpty() && !Double.isFinite(m.idleSince)) {
      m.idleSince = loop.now();
    }
    changed = true;
    Job job = jobs.get(a.task.job());
    if (job != null && a.task.index() < job.spec.tasks()) {
      job.removeAttempt(a);
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
    if (m == null
        || job == null
        || !job.waitingTasks.get(task.index())
        || !m.isSchedulable(loop.now())) {
      return Optional.empty();
    }
    Attempt a = new Attempt(task, (term << TERM_SHIFT) + ++lastAttempt, m, job.spec, loop.now());
    a.overdue = overdue;
    job.addAttempt(a);
    m.attempts.put(task, a);
    m.invalidateView();
    m.idleSince = Double.POSITIVE_INFINITY;
    reports.useImage(m, a);
    if (job.isLaunchable(task.index())) {
      dispatcher.markDue(m);
    } else {
      job.requestLaunchWatermark(task.index());
      jobs.awaitingLaunchWatermark().add(job);
    }
    return Optional.of(a);
  }

  /** Stops a task, with time to save its progress where it can. */
  public void stop(TaskId task, String machineId, String why) {
    Machine m = machines.get(machineId);
    Attempt a = m == null ? null : m.attempts.get(task);
    if (a != null) {
      double grace =
          a.job != null && a.job.supportsCheckpoints()
              ? a.job.checkpointDurationS() + settings.heartbeatIntervalS()
              : 0;
      stop(a, grace, why);
    }
  }

  void stop(Attempt a, double graceS, String why) {
    if (!a.stopping) {
      LOG.debug("stopping task {} on {}: {}; attempt={}", a.task, a.machine.id, why, a.number);
    } else if (graceS >= a.gracePeriodS) {
      return;
    }
    a.stopping = true;
    a.machine.invalidateView();
    a.gracePeriodS = graceS;
    a.stopSentAt = Double.NEGATIVE_INFINITY;
    if (a.state == Attempt.State.LAUNCHING && !a.launchSent) {
      endAttempt(a);
    } else {
      dispatcher.markDue(a.machine);
    }
  }

  /**
   * The cloud is going to take a machine away: tasks that save do so now, and those that cannot end
   * in time go elsewhere at once. The notice may be off by half, so only what needs clearly less is
   * left to run to its end.
   */
  void handlePreemptionNotice(Machine m, double noticeS) {
    double now = loop.now();
    for (Attempt a : m.allAttempts()) {
      if (a.job == null || a.stopping) {
        continue;
      }
      double left = runtimeEstimator.remainingRuntimeS(a, now);
      if (a.job.supportsCheckpoints() ? left > noticeS / 2 : left > noticeS * 3 / 2) {
        stop(a.task, m.id, "the machine is to be taken back");
      }
    }
  }

  /** Stops what is on a machine, with time to save, so that it goes on elsewhere. */
  public void drain(Machine m) {
    m.draining = true;
    for (Attempt a : m.allAttempts()) {
      stop(a.task, m.id, "the machine is to be returned");
    }
  }

  public ArrivalStatistics arrivals() {
    return arrivals;
  }

  double remainingRuntimeS(Attempt a, double now) {
    return runtimeEstimator.remainingRuntimeS(a, now);
  }

  public double expectedRuntimeS(JobSpec job) {
    return runtimeEstimator.expectedRuntimeS(job);
  }

  // Commands

  /** What to send to a machine now, or null. */
  public CommandBatch nextBatch(Machine m) {
    return dispatcher.nextBatch(m);
  }

  /** What became of a call: 200, 409, not sent, or anything else, which may yet be carried out. */
  public void batchCompleted(
      CommandBatch call, boolean executed, boolean surelyNot, Heartbeat report) {
    dispatcher.batchCompleted(call, executed, surelyNot, report);
  }

  /** Machines whose calls failed and may be tried again. */
  public void retryCommands() {
    dispatcher.requeueRetryable();
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
  boolean mayRunOnUnreconciled(Job job) {
    return !unreconciled().isEmpty() && jobs.isOlderThanTerm(job);
  }

  /**
   * Whether a task of the job may be on a machine that is not accounted for, in a zone that nobody
   * knows here.
   */
  boolean mayRunInUnknownZone(Job job) {
    if (!mayRunOnUnreconciled(job)) {
      return false;
    }
    BitSet tasks = job.launchedOnUnreconciled();
    return !tasks.isEmpty() && unreconciled().stream().anyMatch(m -> m.mayHoldAny(job, tasks));
  }

  /**
   * Whether one of the machines not accounted for may hold anything, and not only what was written
   * down.
   */
  boolean anyUnreconciledMayHoldAnything() {
    return unreconciled().stream().anyMatch(m -> m.possibleTasks == null);
  }

  /** The cluster as the scheduling cycle and the autoscaler look at it. */
  public ClusterView view() {
    return view;
  }
}
