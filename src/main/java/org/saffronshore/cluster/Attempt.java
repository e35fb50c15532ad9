package org.saffronshore.cluster;

import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * An attempt to run a task on one machine. It exists from the decision to launch it until it is
 * certain that it does not run and cannot start any more. An attempt that is over, because its
 * worker has reported its exit or does not report it any more, may therefore still exist: {@link
 * AttemptReaper} decides for how long.
 */
public final class Attempt {

  /** The state of an attempt as last reported by its worker. */
  public enum State {
    /** No status of the worker has shown the attempt yet. */
    LAUNCHING,
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED,
    /** The worker should show the attempt in its newest message, and does not. */
    LOST
  }

  private final TaskId task;
  private final long number;
  private final Machine machine;
  private final double createdAt;
  private final boolean exemptFromPreemption;

  /**
   * The job's specification; null if no open job had the task when this leader learned of the
   * attempt, so that it is not known which resources the task uses.
   */
  private @Nullable JobSpec job;

  private State state = State.LAUNCHING;
  private boolean completed;

  private boolean stopping;
  private double gracePeriodS;
  private double stopSentAt = Double.NEGATIVE_INFINITY;

  private final LaunchDelivery launch = new LaunchDelivery();

  /** See {@link #runningSince()}. */
  private double runningSince = Double.NaN;

  /** Whether this leader placed the attempt, and thus knows how long it has been running. */
  private boolean observedFromStart;

  /**
   * Creates an attempt of which no launch has been sent.
   *
   * @param number unique among all attempts of all terms
   * @param createdAt the current time in seconds
   * @param exemptFromPreemption whether the attempt is never preempted for another task. This lets
   *     an overdue job start, which it might never do otherwise.
   */
  Attempt(
      TaskId task,
      long number,
      Machine machine,
      @Nullable JobSpec job,
      double createdAt,
      boolean exemptFromPreemption) {
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.job = job;
    this.createdAt = createdAt;
    this.exemptFromPreemption = exemptFromPreemption;
  }

  public TaskId task() {
    return task;
  }

  public long number() {
    return number;
  }

  public Machine machine() {
    return machine;
  }

  /**
   * Returns the specification of the attempt's job, or null if no open job had the task when this
   * leader learned of the attempt.
   */
  public @Nullable JobSpec job() {
    return job;
  }

  /** Replaces the job's specification after a change of its effective priority. */
  void updateJob(JobSpec newSpec) {
    job = newSpec;
  }

  double createdAt() {
    return createdAt;
  }

  boolean isExemptFromPreemption() {
    return exemptFromPreemption;
  }

  /** Returns whether the attempt is still among the attempts of its machine. */
  boolean isOnMachine() {
    return machine.tasks().attemptAt(task) == this;
  }

  // State

  public State state() {
    return state;
  }

  boolean isLaunching() {
    return state == State.LAUNCHING;
  }

  /**
   * Returns whether the attempt is not on its machine any more, according to the worker's newest
   * message.
   */
  boolean isOver() {
    return state == State.EXITED || state == State.LOST;
  }

  /** Returns whether the attempt is running, which includes saving a checkpoint. */
  boolean isRunningOrCheckpointing() {
    return state == State.RUNNING || state == State.CHECKPOINTING;
  }

  /**
   * Returns when this leader saw the attempt change to {@link State#RUNNING}, in seconds; NaN if it
   * has not. A change back from {@link State#CHECKPOINTING} starts the time anew.
   */
  public double runningSince() {
    return runningSince;
  }

  /**
   * Returns whether this leader placed the attempt, and thus knows how long it has been running.
   */
  boolean wasObservedFromStart() {
    return observedFromStart;
  }

  void markPullingImage() {
    state = State.PULLING_IMAGE;
  }

  /**
   * Marks the attempt as running from now on.
   *
   * @param placedInThisTerm whether this leader placed it, rather than an earlier one
   */
  void markRunning(double now, boolean placedInThisTerm) {
    state = State.RUNNING;
    runningSince = now;
    observedFromStart = placedInThisTerm;
  }

  void markCheckpointing() {
    state = State.CHECKPOINTING;
  }

  void markExited() {
    state = State.EXITED;
  }

  void markLost() {
    state = State.LOST;
  }

  /** Marks the task as completed by this attempt. */
  void markCompleted() {
    completed = true;
  }

  boolean isCompleted() {
    return completed;
  }

  // Stopping

  /** Returns whether the attempt is to be stopped. */
  public boolean isStopping() {
    return stopping;
  }

  double gracePeriodS() {
    return gracePeriodS;
  }

  /** Requests a stop. The stop command is due at once, even if an earlier one was sent. */
  void requestStop(double graceS) {
    stopping = true;
    gracePeriodS = graceS;
    stopSentAt = Double.NEGATIVE_INFINITY;
  }

  void stopSent(double now) {
    stopSentAt = now;
  }

  /** Returns whether a stop command is to be sent, for the first time or as a repetition. */
  boolean isStopDue(double now, double repeatAfterS) {
    return stopping && now >= stopSentAt + repeatAfterS;
  }

  /** Returns what is known of the delivery of the attempt's launches. */
  LaunchDelivery launch() {
    return launch;
  }
}
