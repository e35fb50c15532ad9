package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.Optional;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Places attempts on machines, requests their stop and removes those that have ended. */
final class AttemptLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

  /**
   * The number of low bits of an attempt number that count the attempts of one term. The bits above
   * hold the term, so that attempt numbers are unique across terms.
   */
  private static final int TERM_SHIFT = 24;

  private final EventLoop loop;
  private final Settings settings;
  private final long term;
  private final JobTable jobs;
  private final MachineTable machines;
  private final CommandQueue commandQueue;
  private final AttemptReaper reaper;
  private final RuntimeEstimator runtimeEstimator;

  /** Called after each change that may allow a task to be placed. */
  private final Runnable onChange;

  private long attemptCounter;

  AttemptLifecycle(
      EventLoop loop,
      Settings settings,
      long term,
      JobTable jobs,
      MachineTable machines,
      CommandQueue commandQueue,
      AttemptReaper reaper,
      RuntimeEstimator runtimeEstimator,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.jobs = jobs;
    this.machines = machines;
    this.commandQueue = commandQueue;
    this.reaper = reaper;
    this.runtimeEstimator = runtimeEstimator;
    this.onChange = onChange;
  }

  /** Returns whether the leader of this term placed the attempt, rather than an earlier one. */
  boolean wasPlacedInThisTerm(Attempt attempt) {
    return attempt.number() >> TERM_SHIFT == term;
  }

  /**
   * Places a task on a machine, if the task is still waiting and the machine is still schedulable.
   * The launch is queued at once if the launch watermark covers the task, and otherwise follows
   * once a higher watermark has been written.
   *
   * @param overdue whether the job is overdue, which exempts the attempt from preemption
   * @return the new attempt, or empty if none was placed
   */
  Optional<Attempt> place(TaskId task, String machineId, boolean overdue) {
    Machine machine = machines.get(machineId);
    Job job = jobs.get(task.job());
    if (machine == null
        || job == null
        || !job.isWaiting(task.index())
        || !machine.isSchedulable(loop.now())) {
      return Optional.empty();
    }
    long number = (term << TERM_SHIFT) + ++attemptCounter;
    Attempt attempt = new Attempt(task, number, machine, job.spec(), loop.now(), overdue);
    job.addAttempt(attempt);
    machine.placeAttempt(attempt);
    recordImageUse(attempt);
    if (job.isLaunchable(task.index())) {
      commandQueue.markDue(machine);
    } else {
      job.requestLaunchWatermark(task.index());
      jobs.jobsAwaitingLaunchWatermark().add(job);
    }
    return Optional.of(attempt);
  }

  /**
   * Records in the machine's image cache that the attempt uses, and if necessary pulls, its image.
   */
  void recordImageUse(Attempt attempt) {
    MachineType type = machines.typeOf(attempt.machine());
    JobSpec job = attempt.job();
    if (job != null && type != null) {
      attempt.machine().images().recordUse(job.image(), job.imageGb(), type.cacheGb());
    }
  }

  /**
   * Preempts a task in favour of another one, with time to save a checkpoint if it supports them.
   */
  void preempt(TaskId task, String machineId, String detail) {
    Machine machine = machines.get(machineId);
    Attempt attempt = machine == null ? null : machine.tasks().attemptAt(task);
    if (attempt != null) {
      stop(attempt, gracePeriodS(attempt), StopReason.PREEMPTION, detail);
    }
  }

  /** Stops an attempt, with time to save a checkpoint if its job supports them. */
  private void stopGracefully(Attempt attempt, StopReason reason) {
    stop(attempt, gracePeriodS(attempt), reason, reason.description());
  }

  /** Stops an attempt without a grace period, since its progress is no longer needed. */
  void stopNow(Attempt attempt, StopReason reason) {
    stop(attempt, 0, reason, reason.description());
  }

  /**
   * Returns how long a stopped attempt may take to save a checkpoint; 0 if its job does not support
   * checkpoints.
   */
  private double gracePeriodS(Attempt attempt) {
    JobSpec job = attempt.job();
    return job != null && job.supportsCheckpoints()
        ? job.checkpointDurationS() + settings.heartbeatIntervalS()
        : 0;
  }

  /**
   * Requests that an attempt be stopped. If it is already stopping, the new request only takes
   * effect if it shortens the grace period.
   */
  private void stop(Attempt attempt, double graceS, StopReason reason, String detail) {
    if (!attempt.isStopping()) {
      LOG.debug(
          "Stopping task: task={} machine={} attempt={} reason={} detail={}",
          attempt.task(),
          attempt.machine().id(),
          attempt.number(),
          reason,
          detail);
    } else if (graceS >= attempt.gracePeriodS()) {
      return;
    }
    attempt.requestStop(graceS);
    attempt.machine().invalidateView();
    if (attempt.isLaunching() && !attempt.launch().isSent()) {
      end(attempt);
    } else {
      commandQueue.markDue(attempt.machine());
    }
  }

  /** Stops all attempts of a job that has ended. */
  void stopAll(Job job) {
    for (Attempt attempt : new ArrayList<>(job.placedAttempts())) {
      stopNow(attempt, StopReason.JOB_ENDED);
    }
    for (Attempt attempt : new ArrayList<>(job.duplicateAttempts())) {
      stopNow(attempt, StopReason.JOB_ENDED);
    }
  }

  /**
   * Stops those attempts that should not wait for the cloud to reclaim their machine. The notice
   * may be off by half. A task that supports checkpoints therefore keeps running only if it is
   * expected to complete within half of the notice; otherwise it saves a checkpoint now. Any other
   * task loses its progress when stopped, and is restarted elsewhere at once only if it is expected
   * to need more than one and a half times the notice.
   *
   * @param noticeS seconds until the cloud reclaims the machine, as announced
   */
  void handlePreemptionNotice(Machine machine, double noticeS) {
    double now = loop.now();
    for (Attempt attempt : machine.tasks().active()) {
      JobSpec job = attempt.job();
      if (job == null || attempt.isStopping()) {
        continue;
      }
      double remainingS = runtimeEstimator.remainingRuntimeS(job, attempt.runningSince(), now);
      boolean unlikelyToComplete =
          job.supportsCheckpoints() ? remainingS > noticeS / 2 : remainingS > noticeS * 3 / 2;
      if (unlikelyToComplete) {
        stopGracefully(attempt, StopReason.PREEMPTION_NOTICE);
      }
    }
  }

  /** Stops all attempts on a machine gracefully, so that their tasks are placed elsewhere. */
  void drain(Machine machine) {
    machine.markDraining();
    for (Attempt attempt : machine.tasks().active()) {
      stopGracefully(attempt, StopReason.DRAIN);
    }
  }

  /**
   * Handles an attempt that its worker should show in its newest message, and does not. It ends
   * once no copy of its launch can start it.
   */
  void lost(Attempt attempt) {
    if (!attempt.isOver()) {
      attempt.markLost();
      LOG.debug(
          "Attempt lost: task={} machine={} attempt={} epoch={} launch_token={} token={}",
          attempt.task(),
          attempt.machine().id(),
          attempt.number(),
          attempt.machine().epochs().epoch(),
          attempt.launch().largestToken(),
          attempt.machine().delivery().confirmedToken());
    }
    endOnceFenced(attempt);
  }

  /** Ends an attempt that is over, at once or when no copy of its launch can start it any more. */
  void endOnceFenced(Attempt attempt) {
    if (attempt.isOnMachine() && reaper.mayStartAgain(attempt)) {
      attempt.machine().invalidateView();
    } else {
      end(attempt);
    }
  }

  /** Ends the attempts on a machine that are over and that no copy of a launch can start. */
  void endFenced(Machine machine) {
    if (!reaper.hasFencedAttempt(machine)) {
      return;
    }
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      if (attempt.isOver() && !reaper.mayStartAgain(attempt)) {
        end(attempt);
      }
    }
  }

  /**
   * Removes an attempt that is not running and can no longer start. Its task may be placed again
   * unless it is finished or has another attempt.
   */
  void end(Attempt attempt) {
    attempt.machine().removeAttempt(attempt, loop.now());
    onChange.run();
    TaskId task = attempt.task();
    Job job = jobs.get(task.job());
    if (job != null && task.index() < job.spec().tasks()) {
      job.removeAttempt(attempt);
    }
  }
}
