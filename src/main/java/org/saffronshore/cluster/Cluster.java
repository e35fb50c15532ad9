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
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;

/**
 * The state of the cluster as known to one leader during its term: the machines, the jobs, and
 * where each task is or may be. Every term rebuilds it from the state service and from heartbeats.
 * A task counts as being on a machine until there is proof that it is not there and cannot start
 * there: a newer heartbeat with a fencing token that keeps copies of its launch out, a newer epoch,
 * a lease that must have expired, or a statement of the cloud that the machine no longer exists.
 *
 * <p>This class creates the components of one term and is their facade; each component receives
 * only what it uses. It is confined to the event loop thread.
 */
public final class Cluster {
  private final long term;
  private final double startedAt;
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
  private final CapacityView capacity;

  /** Whether there has been a change since the last check that may allow a task to be placed. */
  private boolean changed;

  /**
   * Creates the cluster at the start of a term, without machines or jobs.
   *
   * @param tokens the fencing tokens of the term; the first is the number of the term
   * @param leaderKeyVersion the version of the leader key that was written when this term began
   */
  public Cluster(EventLoop loop, Settings settings, FencingTokens tokens, long leaderKeyVersion) {
    Runnable onChange = () -> changed = true;
    this.term = tokens.first();
    this.startedAt = loop.now();
    this.jobs = new JobTable(loop, settings, leaderKeyVersion, onChange);
    this.machines = new MachineTable(loop, settings, term);
    this.reconciliation = new Reconciliation(jobs);
    this.registry = new MachineRegistry(loop, machines, onChange);
    AttemptReaper reaper = new AttemptReaper(jobs, tokens);
    this.commandBuilder = new CommandBuilder(loop, settings, jobs, tokens, reaper);
    this.commandQueue = new CommandQueue(commandBuilder);
    this.attempts =
        new AttemptLifecycle(
            loop, settings, term, jobs, machines, commandQueue, reaper, runtimeEstimator, onChange);
    this.machineLifecycle =
        new MachineLifecycle(
            loop, settings, machines, reconciliation, attempts, registry, commandQueue, onChange);
    this.unresponsiveMachines =
        new UnresponsiveMachineDetector(loop, settings, machines, commandQueue, onChange);
    TaskStatusReconciler taskStatuses =
        new TaskStatusReconciler(
            loop,
            settings,
            jobs,
            reconciliation,
            attempts,
            runtimeEstimator,
            unresponsiveMachines,
            onChange);
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
    this.view = new ClusterView(loop, settings, jobs, machines, reconciliation);
    this.capacity = new CapacityView(loop, machines, reconciliation, runtimeEstimator);
  }

  public long term() {
    return term;
  }

  public double startedAt() {
    return startedAt;
  }

  /** Returns, and resets, whether there has been a change that may allow a task to be placed. */
  public boolean consumeChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** Returns the read-only view that the scheduling cycle uses. */
  public ClusterView view() {
    return view;
  }

  /** Returns the read-only view that the autoscaler uses. */
  public CapacityView capacity() {
    return capacity;
  }

  // Jobs

  /** Returns a live view of the open jobs. */
  public Collection<Job> jobs() {
    return jobs.all();
  }

  /** Returns the open job with this id, or null if there is none. */
  public @Nullable Job job(String id) {
    return jobs.get(id);
  }

  /**
   * Adds an open job. All jobs of earlier terms must be added before the first heartbeat.
   *
   * @param launchWatermark tasks with this index or a higher one were never launched
   */
  public void addJob(
      JobSpec spec, long version, long submittedAtMs, BitSet finishedTasks, int launchWatermark) {
    if (jobs.get(spec.id()) != null) {
      return;
    }
    boolean shownByHeartbeat =
        machines.all().stream()
            .flatMap(machine -> machine.attempts().stream())
            .anyMatch(attempt -> attempt.job() == null && attempt.task().job().equals(spec.id()));
    if (shownByHeartbeat) {
      throw new IllegalStateException(
          "jobs of earlier terms must be added before the first heartbeat: job=" + spec.id());
    }
    jobs.add(spec, version, submittedAtMs, finishedTasks, launchWatermark);
  }

  /** Removes a job that has ended and stops all of its attempts. */
  public void removeJob(String id) {
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    reconciliation.jobEnded(job);
    attempts.stopAll(job);
    changed = true;
  }

  /** Returns the dependencies between open jobs. */
  public DependencyGraph dependencies() {
    return jobs.dependencies();
  }

  /** Records the outcome of a job. Jobs that depend on it may become ready. */
  public void jobEnded(String id, boolean done, long endedAtMs) {
    jobs.jobEnded(id, done, endedAtMs);
  }

  /** Returns a live view of the jobs with finished tasks that are not in the state service yet. */
  public Set<Job> jobsWithUnsavedTasks() {
    return jobs.jobsWithUnsavedTasks();
  }

  /** Records that the state service has stored these tasks; workers may forget their attempts. */
  public void finishedTasksSaved(Job job, BitSet tasks) {
    jobs.finishedTasksSaved(job, tasks);
  }

  /** Returns a live view of the open jobs whose tasks are all finished. */
  public Set<Job> completedJobs() {
    return jobs.completedJobs();
  }

  /** Returns the jobs with placed tasks that wait for a higher launch watermark to be written. */
  public Set<Job> jobsAwaitingLaunchWatermark() {
    return jobs.jobsAwaitingLaunchWatermark();
  }

  /** Records that a launch watermark has been stored: tasks of the job below it may be launched. */
  public void launchWatermarkSaved(Job job, int launchWatermark) {
    jobs.launchWatermarkSaved(job, launchWatermark);
    job.placedAttempts().forEach(attempt -> commandQueue.markDue(attempt.machine()));
  }

  public ArrivalStatistics arrivals() {
    return jobs.arrivals();
  }

  // Machines

  public Map<String, MachineType> machineTypes() {
    return machines.types();
  }

  /** Updates the machine types to those that the cloud offers now, by name. */
  public void machineTypes(Map<String, MachineType> newTypes) {
    changed |= machines.updateTypes(newTypes);
  }

  /** Returns a live view of all machines that have not been removed. */
  public Collection<Machine> machines() {
    return machines.all();
  }

  /** Returns the machine with this id, or null if it is unknown or has been removed. */
  public @Nullable Machine machine(String id) {
    return machines.get(id);
  }

  public boolean isUnreconciled(Machine machine) {
    return reconciliation.isUnreconciled(machine);
  }

  /** Returns the number of machines that may hold tasks of earlier terms. */
  public int unreconciledCount() {
    return reconciliation.unreconciledMachines().size();
  }

  /** Returns the registry of the machines that the next leader must know of. */
  public MachineRegistry registry() {
    return registry;
  }

  /** Returns the detector of machines whose heartbeats arrive but that receive no messages. */
  public UnresponsiveMachineDetector unresponsiveMachines() {
    return unresponsiveMachines;
  }

  /** Adds a machine of an earlier leader's registry; see {@link MachineLifecycle#addRegistered}. */
  public void addRegistered(String id, double ageS, @Nullable Set<TaskId> possibleTasks) {
    machineLifecycle.addRegistered(id, ageS, possibleTasks);
  }

  /** Adds a machine that the cloud has returned in response to a rental request. */
  public void machineRented(String id, String type, String zone, boolean spot, double requestedAt) {
    machineLifecycle.machineRented(id, type, zone, spot, requestedAt);
  }

  /** Applies one entry of the cloud's machine list; see {@link MachineLifecycle#machineListed}. */
  public void machineListed(ListedMachine listed) {
    machineLifecycle.machineListed(listed);
  }

  /** Removes machines that a complete list lacks; see {@link MachineLifecycle#removeUnlisted}. */
  public void removeUnlisted(Set<String> ids, double requestedAt) {
    machineLifecycle.removeUnlisted(ids, requestedAt);
  }

  /** Removes a machine that no longer exists, and ends all attempts on it. */
  public void machineRemoved(Machine machine, String reason) {
    machineLifecycle.machineRemoved(machine, reason);
  }

  /**
   * Records that the machine's return to the cloud was requested; no new tasks are placed on it.
   */
  public void markReturning(Machine machine) {
    machineLifecycle.markReturning(machine);
  }

  /** Releases every machine whose worker's lease must have expired. */
  public void expireLeases() {
    machineLifecycle.expireLeases();
  }

  /** Handles the end of a pause of this process; see {@link MachineTable#onProcessPause}. */
  public void onProcessPause() {
    machines.onProcessPause();
  }

  /** Returns whether most of the machines that are up have been silent for this many seconds. */
  public boolean isMostlySilent(double durationS) {
    return machines.isMostlySilent(durationS);
  }

  // Heartbeats

  /**
   * Applies a heartbeat, as opposed to a status in a response to a command. The response to the
   * heartbeat renews the worker's lease.
   *
   * @return the machine, or null if it no longer exists
   */
  public @Nullable Machine heartbeatReceived(Heartbeat heartbeat) {
    return heartbeats.heartbeatReceived(heartbeat);
  }

  /** Applies the status in a response to a direct command, which does not renew the lease. */
  public void directStatusReceived(Machine machine, Heartbeat status) {
    heartbeats.directStatusReceived(machine, status);
  }

  // Attempts

  /** Places a task on a machine if the task is still waiting and the machine is schedulable. */
  public Optional<Attempt> place(TaskId task, String machineId) {
    return place(task, machineId, false);
  }

  /**
   * Places a task on a machine if the task is still waiting and the machine is schedulable.
   *
   * @param overdue whether the task's job is overdue, which exempts the attempt from preemption
   * @return the new attempt, or empty if the task was not placed
   */
  public Optional<Attempt> place(TaskId task, String machineId, boolean overdue) {
    return attempts.place(task, machineId, overdue);
  }

  /** Preempts a task, with a grace period to save its progress if it supports checkpoints. */
  public void preempt(TaskId task, String machineId, String detail) {
    attempts.preempt(task, machineId, detail);
  }

  /** Stops all attempts on a machine gracefully, so that their tasks are placed elsewhere. */
  public void drain(Machine machine) {
    attempts.drain(machine);
  }

  // Commands

  /** Removes and returns the next machine that may have commands due, or null if there is none. */
  public @Nullable Machine nextMachineWithCommands() {
    return commandQueue.poll();
  }

  /** Returns the batch to send to the machine now, or null if there is nothing to send. */
  public @Nullable CommandBatch nextBatch(Machine machine) {
    return dispatcher.nextBatch(machine);
  }

  /**
   * Records the outcome of a batch.
   *
   * @param status the worker's status in its response, or null if there was no response
   */
  public void batchCompleted(
      CommandBatch batch, DeliveryOutcome outcome, @Nullable Heartbeat status) {
    dispatcher.batchCompleted(batch, outcome, status);
  }

  /** Queues the machines whose commands are still due, so that failed batches are repeated. */
  public void retryCommands() {
    dispatcher.requeueRetryable();
  }

  /**
   * Returns the commands for the response to a heartbeat: stops, exited attempts that the worker
   * may forget, and launches whose delivery is unknown. May raise the machine's fencing token.
   */
  public List<Command> responseCommands(Machine machine) {
    return commandBuilder.responseCommands(machine);
  }
}
