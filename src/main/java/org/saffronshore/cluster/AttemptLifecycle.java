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

/** Places attempts at tasks on machines, stops them and ends them. */
final class AttemptLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

  /** The numbers of a term's attempts begin with the term, so that no two terms share any. */
  private static final int TERM_SHIFT = 24;

  private final EventLoop loop;
  private final Settings settings;
  private final long term;
  private final JobTable jobs;
  private final MachineTable machines;
  private final CommandQueue commandQueue;
  private final RuntimeEstimator runtimeEstimator;

  /** What to do when something has happened that may let a task be placed. */
  private final Runnable onChange;

  private long attemptCounter;

  AttemptLifecycle(
      EventLoop loop,
      Settings settings,
      long term,
      JobTable jobs,
      MachineTable machines,
      CommandQueue commandQueue,
      RuntimeEstimator runtimeEstimator,
      Runnable onChange) {
    this.loop = loop;
    this.settings = settings;
    this.term = term;
    this.jobs = jobs;
    this.machines = machines;
    this.commandQueue = commandQueue;
    this.runtimeEstimator = runtimeEstimator;
    this.onChange = onChange;
  }

  /** Whether this term has placed the attempt. */
  boolean wasPlacedInThisTerm(Attempt attempt) {
    return attempt.number() >> TERM_SHIFT == term;
  }

  /**
   * Starts an attempt at a task on a machine, if both are still free for that.
   *
   * @param overdue whether the task is not to be preempted
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

  /** The attempt's machine has its image, or is going to pull it. */
  void recordImageUse(Attempt attempt) {
    MachineType type = machines.typeOf(attempt.machine());
    JobSpec job = attempt.job();
    if (job != null && type != null) {
      attempt.machine().images().recordUse(job.image(), job.imageGb(), type.cacheGb());
    }
  }

  /** Stops a task for another one, with time to save its progress where it can. */
  void preempt(TaskId task, String machineId, String detail) {
    Machine machine = machines.get(machineId);
    Attempt attempt = machine == null ? null : machine.tasks().attemptAt(task);
    if (attempt != null) {
      stop(attempt, gracePeriodS(attempt), StopReason.PREEMPTION, detail);
    }
  }

  /** Stops a task, with time to save its progress where it can. */
  private void stopGracefully(Attempt attempt, StopReason reason) {
    stop(attempt, gracePeriodS(attempt), reason, reason.description());
  }

  /** Stops an attempt without delay: its progress is of no use. */
  void stopNow(Attempt attempt, StopReason reason) {
    stop(attempt, 0, reason, reason.description());
  }

  private double gracePeriodS(Attempt attempt) {
    JobSpec job = attempt.job();
    return job != null && job.supportsCheckpoints()
        ? job.checkpointDurationS() + settings.heartbeatIntervalS()
        : 0;
  }

  /** A later stop changes an earlier one only when it leaves less time. */
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
    if (attempt.isLaunching() && !attempt.isLaunchSent()) {
      end(attempt);
    } else {
      commandQueue.markDue(attempt.machine());
    }
  }

  /** Stops all attempts of a job that is over. */
  void stopAll(Job job) {
    for (Attempt attempt : new ArrayList<>(job.placedAttempts())) {
      stopNow(attempt, StopReason.JOB_ENDED);
    }
    for (Attempt attempt : new ArrayList<>(job.duplicateAttempts())) {
      stopNow(attempt, StopReason.JOB_ENDED);
    }
  }

  /**
   * The cloud is going to take a machine back: tasks that save their progress do so now, and others
   * that cannot end in time start elsewhere at once. The notice may be off by half, so only what
   * needs clearly less is left to run to its end.
   */
  void handlePreemptionNotice(Machine machine, double noticeS) {
    double now = loop.now();
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      JobSpec job = attempt.job();
      if (job == null || attempt.isStopping()) {
        continue;
      }
      double remainingS = runtimeEstimator.remainingRuntimeS(job, attempt.runningSince(), now);
      boolean tooLong =
          job.supportsCheckpoints() ? remainingS > noticeS / 2 : remainingS > noticeS * 3 / 2;
      if (tooLong) {
        stopGracefully(attempt, StopReason.PREEMPTION_NOTICE);
      }
    }
  }

  /** Stops all tasks of a machine, with time to save their progress, so that they go elsewhere. */
  void drain(Machine machine) {
    machine.markDraining();
    for (Attempt attempt : machine.tasks().attemptsCopy()) {
      stopGracefully(attempt, StopReason.DRAIN);
    }
  }

  /**
   * Nothing of the attempt runs or can come to run: the task may be placed again unless it is
   * finished.
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
