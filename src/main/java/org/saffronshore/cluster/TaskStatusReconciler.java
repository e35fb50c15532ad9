package org.saffronshore.cluster;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the task statuses in a worker's message to the leader's state: updates known attempts,
 * adopts attempts that an earlier leader launched, records exits and stops duplicates.
 */
final class TaskStatusReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusReconciler.class);

  /** Exit reasons with which a worker reports that it did not start the task. */
  private static final Set<Heartbeat.ExitReason> REFUSALS =
      EnumSet.of(
          Heartbeat.ExitReason.INSUFFICIENT_RESOURCES,
          Heartbeat.ExitReason.ALREADY_RUNNING,
          Heartbeat.ExitReason.UNKNOWN_TASK);

  /** Backoff of a machine for each consecutive task failure, in heartbeat intervals. */
  private static final double FAILURE_BACKOFF_INTERVALS = 2;

  private final EventLoop loop;
  private final Settings settings;
  private final JobTable jobs;
  private final Reconciliation reconciliation;
  private final AttemptLifecycle attempts;
  private final RuntimeEstimator runtimeEstimator;
  private final UnresponsiveMachineDetector unresponsiveMachines;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  TaskStatusReconciler(
      EventLoop loop,
      Settings settings,
      JobTable jobs,
      Reconciliation reconciliation,
      AttemptLifecycle attempts,
      RuntimeEstimator runtimeEstimator,
      UnresponsiveMachineDetector unresponsiveMachines,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.jobs = jobs;
    this.reconciliation = reconciliation;
    this.attempts = attempts;
    this.runtimeEstimator = runtimeEstimator;
    this.unresponsiveMachines = unresponsiveMachines;
    this.onChange = onChange;
  }

  /**
   * Applies all task statuses of the newest message of a machine. Attempts that the message does
   * not show are lost, unless no status has shown them yet.
   */
  void apply(Machine machine, List<Heartbeat.TaskStatus> statuses) {
    machine.beforeTasksApplied();
    Set<TaskId> shown = new HashSet<>();
    for (Heartbeat.TaskStatus status : statuses) {
      shown.add(status.task());
      apply(machine, status);
    }
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      if (!shown.contains(attempt.task()) && !attempt.isLaunching()) {
        attempts.lost(attempt);
      }
    }
    machine
        .tasks()
        .exited()
        .removeIf(attempt -> !shown.contains(attempt.task()) && !attempt.launch().mayArrive());
    machine.tasks().recordApplied(statuses);
  }

  private void apply(Machine machine, Heartbeat.TaskStatus status) {
    TaskId task = status.task();
    Job openJob = jobs.get(task.job());
    Job job = openJob != null && task.index() < openJob.spec().tasks() ? openJob : null;
    Attempt attempt = machine.tasks().attemptAt(task);
    boolean exited = status.state() == Heartbeat.TaskState.EXITED;
    if (exited && isKnownExit(machine, status)) {
      return;
    }
    if (attempt == null || attempt.number() != status.attempt()) {
      if (!exited && !reconciliation.mayHold(machine, task)) {
        logOutdated(machine, status);
        return;
      }
      attempt =
          new Attempt(
              task, status.attempt(), machine, job == null ? null : job.spec(), loop.now(), false);
      if (attempts.wasPlacedInThisTerm(attempt)) {
        attempt.launch().sentWith(machine.fencingToken());
      }
      if (exited) {
        handleExit(attempt, status.exitReason(), job);
        return;
      }
      adopt(attempt, job);
    } else if (attempt.isOver() && !exited) {
      handleRestart(attempt, job);
    }
    applyState(attempt, status, openJob, job);
  }

  private void applyState(
      Attempt attempt, Heartbeat.TaskStatus status, @Nullable Job openJob, @Nullable Job job) {
    if (attempt.isLaunching()) {
      unresponsiveMachines.markResponsive(attempt.machine());
    }
    switch (status.state()) {
      case PULLING_IMAGE -> attempt.markPullingImage();
      case RUNNING -> handleRunning(attempt, openJob);
      case CHECKPOINTING -> attempt.markCheckpointing();
      default -> handleExit(attempt, status.exitReason(), job);
    }
  }

  private static void logOutdated(Machine machine, Heartbeat.TaskStatus status) {
    LOG.debug(
        "Task in outdated message ignored: task={} machine={} attempt={} zone={} token={}",
        status.task(),
        machine.id(),
        status.attempt(),
        machine.zone(),
        machine.delivery().confirmedToken());
  }

  private static boolean isKnownExit(Machine machine, Heartbeat.TaskStatus status) {
    Attempt known = machine.tasks().exitedAt(status.task());
    return known != null && known.number() == status.attempt();
  }

  private void handleRunning(Attempt attempt, @Nullable Job job) {
    if (attempt.state() == Attempt.State.RUNNING) {
      return;
    }
    attempt.markRunning(loop.now(), attempts.wasPlacedInThisTerm(attempt));
    if (job != null) {
      job.markStarted();
    }
    attempts.recordImageUse(attempt);
  }

  /** Adopts an attempt that an earlier leader launched, and stops it if it is no longer needed. */
  private void adopt(Attempt attempt, @Nullable Job job) {
    LOG.debug(
        "Attempt adopted: task={} machine={} attempt={} zone={} token={}",
        attempt.task(),
        attempt.machine().id(),
        attempt.number(),
        attempt.machine().zone(),
        attempt.machine().delivery().confirmedToken());
    Attempt replaced = attempt.machine().adoptAttempt(attempt);
    attempt.launch().markAdopted();
    if (replaced != null) {
      // A launch of the replaced attempt may still arrive, and would start the task too.
      attempt.launch().sentWith(replaced.launch().largestToken());
    }
    if (job != null) {
      job.addAttempt(attempt);
      if (replaced != null) {
        job.removeAttempt(replaced);
      }
    }
    stopIfNotNeeded(attempt, job);
  }

  /** Handles an attempt that was over, and that a copy of its launch has started again. */
  private void handleRestart(Attempt attempt, @Nullable Job job) {
    LOG.info(
        "Attempt started again: task={} machine={} attempt={}",
        attempt.task(),
        attempt.machine().id(),
        attempt.number());
    attempt.machine().tasks().removeExited(attempt);
    stopIfNotNeeded(attempt, job);
  }

  private void stopIfNotNeeded(Attempt attempt, @Nullable Job job) {
    if (job == null) {
      attempts.stopNow(attempt, StopReason.JOB_ENDED);
    } else if (job.isFinished(attempt.task().index())) {
      attempts.stopNow(attempt, StopReason.TASK_FINISHED);
    }
  }

  /**
   * Handles further attempts at the tasks of a reconciled machine. Those on unreconciled machines
   * are outdated and end ({@link Reconciliation#mayHold}). Those on reconciled machines are really
   * there, and all but one are stopped.
   */
  void resolveDuplicates(Machine machine) {
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      Job job = jobs.get(attempt.task().job());
      if (job != null && !job.duplicateAttempts().isEmpty()) {
        endOutdated(job, attempt.task().index());
        stopDuplicates(job, attempt.task().index());
      }
    }
  }

  private void endOutdated(Job job, int index) {
    for (Attempt attempt : job.attemptsAt(index)) {
      if (!reconciliation.mayHold(attempt.machine(), attempt.task())) {
        LOG.debug(
            "Outdated attempt ends: task={} machine={} attempt={}",
            attempt.task(),
            attempt.machine().id(),
            attempt.number());
        attempts.end(attempt);
      }
    }
  }

  private void stopDuplicates(Job job, int index) {
    Attempt kept = job.placedAttemptAt(index);
    for (Attempt other : job.attemptsAt(index)) {
      if (kept != null && other != kept && isStoppable(other) && isStoppable(kept)) {
        LOG.warn(
            "Task on two machines: task={} machine={} stopped_machine={} stopped_attempt={}",
            other.task(),
            kept.machine().id(),
            other.machine().id(),
            other.number());
        attempts.stopNow(other, StopReason.DUPLICATE);
      }
    }
  }

  /** Returns whether the attempt is certain to be on its machine and is not being stopped. */
  private static boolean isStoppable(Attempt attempt) {
    return attempt.machine().isReconciled() && !attempt.isStopping() && !attempt.isOver();
  }

  private void handleExit(Attempt attempt, Heartbeat.ExitReason reason, @Nullable Job job) {
    Machine machine = attempt.machine();
    boolean wasStopping = attempt.isStopping();
    boolean wasOnMachine = attempt.isOnMachine();
    attempt.markExited();
    machine.tasks().addExited(attempt);
    onChange.run();
    if (job != null && reason == Heartbeat.ExitReason.COMPLETED) {
      handleCompletion(attempt, job);
    }
    attempts.endOnceFenced(attempt);
    if (wasOnMachine && reason == Heartbeat.ExitReason.FAILED && !wasStopping && job != null) {
      handleFailure(attempt, job);
    } else if (wasOnMachine && REFUSALS.contains(reason)) {
      LOG.debug(
          "Task refused: task={} machine={} attempt={} reason={}",
          attempt.task(),
          machine.id(),
          attempt.number(),
          reason);
      machine.health().taskRefused(loop.now() + settings.heartbeatIntervalS());
    }
  }

  private void handleCompletion(Attempt attempt, Job job) {
    int index = attempt.task().index();
    attempt.markCompleted();
    runtimeEstimator.attemptCompleted(attempt, loop.now());
    if (job.finishTask(index)) {
      (job.isComplete() ? jobs.completedJobs() : jobs.jobsWithUnsavedTasks()).add(job);
      for (Attempt other : job.attemptsAt(index)) {
        if (other != attempt) {
          attempts.stopNow(other, StopReason.TASK_FINISHED);
        }
      }
    }
    job.taskCompleted();
    attempt.machine().health().taskCompleted();
  }

  /**
   * Handles the failure of a task. A job whose tasks fail on several machines is considered at
   * fault and backs off; otherwise the failure counts against the machine.
   */
  private void handleFailure(Attempt attempt, Job job) {
    Machine machine = attempt.machine();
    double now = loop.now();
    if (job.taskFailedOn(machine.id())) {
      // The backoff is never longer than a worker lease: the machines may have been at fault after
      // all, and may have recovered.
      job.backOff(now, settings.heartbeatIntervalS(), settings.workerLeaseS());
      LOG.info("Job backing off: job={} failed_machines={}", job.id(), job.failedMachineCount());
      return;
    }
    machine.health().taskFailed(now, settings.heartbeatIntervalS() * FAILURE_BACKOFF_INTERVALS);
    LOG.debug(
        "Task failed: task={} machine={} attempt={} consecutive_failures={}",
        attempt.task(),
        machine.id(),
        attempt.number(),
        machine.health().consecutiveFailures());
  }
}
