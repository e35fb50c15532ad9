package org.saffronshore.cluster;

import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * One try at a task on one machine, from the decision to start it until nothing of it can run any
 * more.
 */
public final class Attempt {

  /** LAUNCHING: no heartbeat has shown it yet. */
  public enum State {
    LAUNCHING,
    PULLING_IMAGE,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  private final TaskId task;
  private final long number;
  private final Machine machine;
  private final double createdAt;
  private final boolean exemptFromPreemption;

  /** Null when the job was over before this leader learned what the task takes of its machine. */
  private @Nullable JobSpec job;

  private State state = State.LAUNCHING;
  private boolean completed;

  private boolean isStopping;
  private double gracePeriodS;
  private double stopSentAt = Double.NEGATIVE_INFINITY;

  /** Whether a launch has ever been handed to the network. */
  private boolean launchSent;

  /** Launches that were sent and whose outcome is not known yet. */
  private int launchesInFlight;

  /** A launch was lost: it may arrive at any time as long as token and epoch match. */
  private boolean deliveryUnknown;

  private double runningSince = Double.NaN;

  /** Whether this leader launched it, and so knows for how long it has run. */
  private boolean observedFromStart;

  /**
   * @param exemptFromPreemption whether it is not stopped for others: its job was overdue and would
   *     never get going otherwise
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

  /** Null when the job was over before this leader learned of the attempt. */
  public @Nullable JobSpec job() {
    return job;
  }

  /** The effective priority of its job has changed. */
  void updateJob(JobSpec newSpec) {
    job = newSpec;
  }

  double createdAt() {
    return createdAt;
  }

  boolean isExemptFromPreemption() {
    return exemptFromPreemption;
  }

  /** Whether the machine still counts it among its attempts. */
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

  /** Whether it runs; saving its progress counts. */
  boolean isRunningOrCheckpointing() {
    return state == State.RUNNING || state == State.CHECKPOINTING;
  }

  /** When this leader first saw it run; NaN as long as it did not. */
  public double runningSince() {
    return runningSince;
  }

  boolean wasObservedFromStart() {
    return observedFromStart;
  }

  void markPullingImage() {
    state = State.PULLING_IMAGE;
  }

  void markRunning(double now, boolean launchedInThisTerm) {
    state = State.RUNNING;
    runningSince = now;
    observedFromStart = launchedInThisTerm;
  }

  void markCheckpointing() {
    state = State.CHECKPOINTING;
  }

  void markExited() {
    state = State.EXITED;
  }

  /** The task is finished by this attempt. */
  void markCompleted() {
    completed = true;
  }

  boolean isCompleted() {
    return completed;
  }

  // Stopping

  public boolean isStopping() {
    return isStopping;
  }

  double gracePeriodS() {
    return gracePeriodS;
  }

  /** Asks for a stop, which is to be sent without delay even if one was sent before. */
  void requestStop(double graceS) {
    isStopping = true;
    gracePeriodS = graceS;
    stopSentAt = Double.NEGATIVE_INFINITY;
  }

  void stopSent(double now) {
    stopSentAt = now;
  }

  boolean isStopDue(double now, double repeatAfterS) {
    return isStopping && now >= stopSentAt + repeatAfterS;
  }

  // Delivery of its launch

  boolean isLaunchSent() {
    return launchSent;
  }

  boolean isLaunchInFlight() {
    return launchesInFlight > 0;
  }

  boolean isDeliveryUnknown() {
    return deliveryUnknown;
  }

  /**
   * Whether a launch may still reach the worker; to forget the attempt then would let it start
   * anew.
   */
  boolean launchMayArrive() {
    return deliveryUnknown || launchesInFlight > 0;
  }

  /** A worker shows the attempt: some leader has sent its launch. */
  void markAdopted() {
    launchSent = true;
  }

  /** A direct command with its launch is sent. */
  void launchSent() {
    launchSent = true;
    launchesInFlight++;
  }

  /** Its launch is sent in a response to a heartbeat, of which nobody learns whether it arrives. */
  void launchSentWithoutConfirmation() {
    launchSent = true;
    deliveryUnknown = true;
  }

  /**
   * What became of a direct command with its launch is known.
   *
   * @return whether no launch of it was ever delivered, or can be, so that it counts as not sent
   */
  boolean launchCompleted(DeliveryOutcome outcome) {
    launchesInFlight--;
    if (outcome == DeliveryOutcome.UNKNOWN) {
      deliveryUnknown = true;
    }
    if (outcome == DeliveryOutcome.NOT_EXECUTED && isLaunching() && !launchMayArrive()) {
      launchSent = false;
      return true;
    }
    return false;
  }
}
