package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.fleet.ArrivalStatistics;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/**
 * What one leader knows during its term: machines, jobs, and where every task is or may be. It is
 * made anew from the state service and from heartbeats in every term. A task counts as being on a
 * machine until there is proof that it is not and cannot come to be there: a newer heartbeat, a
 * newer epoch, a lease that must have run out, or the cloud's word that the machine does not exist
 * any more.
 *
 * <p>This class builds the parts of one term and is their facade; each part is given only what it
 * uses. It belongs to the event loop's thread.
 */
public final class Cluster {
  /** The rate at which jobs come is taken over twice this share of a lease. */
  private static final double ARRIVAL_WINDOW_LEASES = 0.5;

  private final long term;
  private final double startedAt;
  private final ArrivalStatistics arrivals;
  private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
  private final JobTable jobs;
  private final MachineTable machines;
  private final Reconciliation reconciliation;
  private final MachineRegistry registry;
  private final MachineLifecycle machineLifecycle;
  private final AttemptLifecycle attempts;
  private final HeartbeatReconciler heartbeats;
  private final UnresponsiveMachineDetector unresponsiveMachines;
  private final CommandBuilder commandBuilder;
  private final CommandQueue commandQueue;
  private final CommandDispatcher dispatcher;
  private final ClusterView view;

  /** Whether something has happened that may let a task be placed. */
  private boolean changed;

  /**
   * Starts a term with nothing known.
   *
   * @param termVersion version of the leader's key, with which the term began
   */
  public Cluster(EventLoop loop, Settings settings, long term, long termVersion) {
    Runnable onChange = () -> changed = true;
    this.term = term;
    this.startedAt = loop.now();
    this.arrivals = new ArrivalStatistics(ARRIVAL_WINDOW_LEASES * settings.workerLeaseS());
    this.jobs = new JobTable(loop, arrivals, termVersion, onChange);
    this.machines = new MachineTable(loop, settings);
    this.reconciliation = new Reconciliation(jobs);
    this.registry = new MachineRegistry(loop, machines, onChange);
    this.commandBuilder = new CommandBuilder(loop, settings, jobs);
    this.commandQueue = new CommandQueue(commandBuilder);
    this.attempts =
        new AttemptLifecycle(
            loop, settings, term, jobs, machines, commandQueue, runtimeEstimator, onChange);
    this.machineLifecycle =
        new MachineLifecycle(
            loop,
            settings,
            startedAt,
            machines,
            reconciliation,
            attempts,
            registry,
            commandQueue,
            onChange);
    this.unresponsiveMachines =
        new UnresponsiveMachineDetector(loop, settings, machines, commandQueue, onChange);
    TaskStatusReconciler taskStatuses =
        new TaskStatusReconciler(
            loop, settings, jobs, attempts, runtimeEstimator, unresponsiveMachines, onChange);
    this.heartbeats =
        new HeartbeatReconciler(
            loop,
            settings,
            term,
            machines,
            reconciliation,
            attempts,
            taskStatuses,
            registry,
            unresponsiveMachines,
            commandQueue,
            onChange);
    this.dispatcher =
        new CommandDispatcher(
            loop,
            settings,
            machines,
            reconciliation,
            attempts,
            commandBuilder,
            commandQueue,
            unresponsiveMachines,
            heartbeats);
    this.view = new ClusterView(loop, settings, jobs, machines, reconciliation, runtimeEstimator);
  }

  public long term() {
    return term;
  }

  public double startedAt() {
    return startedAt;
  }

  /** Whether anything happened since this was last asked that may let a task be placed. */
  public boolean consumeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /** The cluster as the scheduling cycle and the autoscaler look at it. */
  public ClusterView view() {
    return view;
  }

  // Jobs

  /** Open jobs; a live view. */
  public Collection<Job> jobs() {
    return jobs.all();
  }

  /** An open job, or null. */
  public @Nullable Job job(String id) {
    return jobs.get(id);
  }

  /**
   * Adds an open job. All jobs of earlier terms have to be added before the first heartbeat.
   *
   * @param launchWatermark no task from this one on was ever launched
   */
  public void addJob(
      JobSpec spec, long version, long submittedAtMs, BitSet finishedTasks, int launchWatermark) {
    if (jobs.get(spec.id()) != null) {
      return;
    }
    boolean shownBefore =
        machines.all().stream()
            .flatMap(machine -> machine.attempts().stream())
            .anyMatch(attempt -> attempt.job() == null && attempt.task().job().equals(spec.id()));
    if (shownBefore) {
      throw new IllegalStateException("heartbeats were taken before the jobs were read");
    }
    jobs.add(spec, version, submittedAtMs, finishedTasks, launchWatermark);
  }

  /** The job is over: nothing of it may run any longer. */
  public void removeJob(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    reconciliation.jobEnded(job);
    attempts.stopAll(job);
    changed = true;
  }

  /** Which open jobs depend on which others. */
  public DependencyGraph dependencies() {
    return jobs.dependencies();
  }

  /** How a job ended that others may depend on: some of them may be ready by that. */
  public void jobEnded(String id, boolean done, long atMs) {
    jobs.jobEnded(id, done, atMs);
  }

  /** Jobs with finished tasks that the state service does not know of yet; a live view. */
  public Set<Job> jobsWithUnsavedTasks() {
    return jobs.unsavedJobs();
  }

  /** The state service knows these finished tasks; their attempts need not be kept any more. */
  public void finishedTasksSaved(Job job, BitSet tasks) {
    jobs.finishedTasksSaved(job, tasks);
  }

  /** Open jobs whose tasks are all finished; a live view. */
  public Set<Job> completedJobs() {
    return jobs.completedJobs();
  }

  /** Jobs with placed tasks that are launched once a higher launch watermark is written. */
  public Set<Job> jobsAwaitingLaunchWatermark() {
    return jobs.awaitingLaunchWatermark();
  }

  /** The state service knows that tasks of the job below this one may have been launched. */
  public void launchWatermarkSaved(Job job, int launchWatermark) {
    jobs.launchWatermarkSaved(job, launchWatermark);
    job.placedAttempts().forEach(attempt -> commandQueue.markDue(attempt.machine()));
  }

  public ArrivalStatistics arrivals() {
    return arrivals;
  }

  /** How long a task of a job is expected to run, in seconds. */
  public double expectedRuntimeS(JobSpec job) {
    return runtimeEstimator.expectedRuntimeS(job);
  }

  // Machines

  public Map<String, MachineType> machineTypes() {
    return machines.types();
  }

  /** Takes the cloud's current machine types. */
  public void machineTypes(Map<String, MachineType> newTypes) {
    changed |= machines.updateTypes(newTypes);
  }

  /** All machines that exist; a live view. */
  public Collection<Machine> machines() {
    return machines.all();
  }

  /** A machine that exists, or null. */
  public @Nullable Machine machine(String id) {
    return machines.get(id);
  }

  /** Whether the machine was removed: its heartbeats are late ones. */
  public boolean isRemoved(String machineId) {
    return machines.isRemoved(machineId);
  }

  public boolean isUnreconciled(Machine machine) {
    return reconciliation.isUnreconciled(machine);
  }

  /** How many machines may hold tasks of earlier terms. */
  public int unreconciledCount() {
    return reconciliation.machines().size();
  }

  /** Which machines the next leader must know of. */
  public MachineRegistry registry() {
    return registry;
  }

  /** Machines whose heartbeats arrive and that receive nothing. */
  public UnresponsiveMachineDetector unresponsiveMachines() {
    return unresponsiveMachines;
  }

  /** A machine that an earlier leader gave tasks to; see {@link MachineLifecycle#addRegistered}. */
  public void addRegistered(String id, double ageS, @Nullable Set<TaskId> possibleTasks) {
    machineLifecycle.addRegistered(id, ageS, possibleTasks);
  }

  /** The cloud has responded to a rental request with this machine. */
  public void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    machineLifecycle.machineRented(id, type, zone, spot, requestedAt);
  }

  /** One line of the cloud's list; see {@link MachineLifecycle#machineListed}. */
  public void machineListed(ListedMachine listed) {
    machineLifecycle.machineListed(listed);
  }

  /** Removes what a complete list of the cloud lacks; see {@link MachineLifecycle}. */
  public void removeUnlisted(Set<String> ids, double requestedAt) {
    machineLifecycle.removeUnlisted(ids, requestedAt);
  }

  /** The machine does not exist any more, and nothing on it. */
  public void machineRemoved(Machine machine, String reason) {
    machineLifecycle.machineRemoved(machine, reason);
  }

  /** The cloud has been asked to take the machine back: nothing new may start there. */
  public void markReturning(Machine machine) {
    machineLifecycle.markReturning(machine);
  }

  /** Releases every machine whose worker's lease must have run out. */
  public void expireLeases() {
    machineLifecycle.expireLeases();
  }

  /** This controller has paused until now; see {@link MachineTable#onProcessPause}. */
  public void onProcessPause() {
    machines.onProcessPause();
  }

  /** Whether most machines that are up have been silent for a while. */
  public boolean isMostlySilent(double durationS) {
    return machines.isMostlySilent(durationS);
  }

  // Heartbeats

  /**
   * Takes a heartbeat that the worker sent by itself, and the response to which renews its lease.
   *
   * @return the machine, or null when it was removed
   */
  public @Nullable Machine heartbeatReceived(Heartbeat heartbeat) {
    return heartbeats.heartbeatReceived(heartbeat);
  }

  /** Takes the status in a worker's response to a direct command, which renews no lease. */
  public void directStatusReceived(Machine machine, Heartbeat status) {
    heartbeats.directStatusReceived(machine, status);
  }

  // Attempts

  /** Starts an attempt at a task on a machine, if both are still free for that. */
  public Optional<Attempt> place(TaskId task, String machineId) {
    return place(task, machineId, false);
  }

  /**
   * Starts an attempt at a task on a machine, if both are still free for that.
   *
   * @param overdue whether the task is not to be preempted
   */
  public Optional<Attempt> place(TaskId task, String machineId, boolean overdue) {
    return attempts.place(task, machineId, overdue);
  }

  /** Preempts a task, with time to save its progress where it can. */
  public void preempt(TaskId task, String machineId, String detail) {
    attempts.preempt(task, machineId, detail);
  }

  /** Stops what is on a machine, with time to save, so that it goes on elsewhere. */
  public void drain(Machine machine) {
    attempts.drain(machine);
  }

  // Commands

  /** A machine that may have commands waiting, or null. */
  public @Nullable Machine nextMachineWithCommands() {
    return commandQueue.poll();
  }

  /** What to send to a machine now, or null. */
  public @Nullable CommandBatch nextBatch(Machine machine) {
    return dispatcher.nextBatch(machine);
  }

  /**
   * What became of a batch.
   *
   * @param status the worker's status in its response, or null without a response
   */
  public void batchCompleted(
      CommandBatch batch, DeliveryOutcome outcome, @Nullable Heartbeat status) {
    dispatcher.batchCompleted(batch, outcome, status);
  }

  /** Machines whose batches failed and may be repeated. */
  public void retryCommands() {
    dispatcher.requeueRetryable();
  }

  /**
   * Commands for the response to a heartbeat: stops, what may be forgotten, and launches whose
   * delivery is unknown.
   */
  public List<Command> responseCommands(Machine machine) {
    return commandBuilder.responseCommands(machine);
  }
}
