package org.saffronshore.cluster;

import java.util.Collection;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;
import org.saffronshore.scheduling.MachineView;
import org.saffronshore.scheduling.PlacedTask;
import org.saffronshore.scheduling.Resources;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.MachineType;

/**
 * A rented machine as the leader knows it.
 *
 * <p>Its life cycle has no single state, since what is known of it comes from four independent
 * sources. {@link #isSchedulable} is the one place that combines them. New tasks are placed on a
 * machine that is, at the same time,
 *
 * <ul>
 *   <li>up: a message of its worker has arrived and its lease has not run out since. A machine that
 *       is not up is starting, or lost; it may be up again later;
 *   <li>reconciled: a message has shown this term's fencing token. Once true, it stays so;
 *   <li>registered, and so not cordoned ({@link RegistryEntry});
 * </ul>
 *
 * <p>and of which none of these is true:
 *
 * <ul>
 *   <li>failed, returning, draining, or under a preemption notice: it leaves, and nothing undoes
 *       that;
 *   <li>quarantined: it failed {@link MachineHealth#MAX_CONSECUTIVE_FAILURES} tasks in a row; a
 *       task that completes there ends that;
 *   <li>in backoff, after a refusal or a failure, until a given moment;
 *   <li>silent: heartbeats that were due have not arrived; the next one ends that;
 *   <li>unresponsive: heartbeats arrive and commands do not; proof of a command's arrival ends
 *       that;
 *   <li>holder of a task of a job that ended before this term, since nobody knows its size.
 * </ul>
 */
public final class Machine {
  private final String id;

  // What it is

  private @Nullable String type;
  private @Nullable String zone;
  private boolean spot;
  private @Nullable Address address;

  // Life cycle

  private boolean up;
  private boolean reconciled;
  private boolean failed;
  private boolean returning;
  private boolean draining;
  private double preemptedAt = Double.NaN;

  /** When the machine was first known to exist. */
  private double existsSince;

  private double rentedAt;
  private double firstUpAt = Double.NaN;

  private final MachineHealth health;
  private final WorkerEpochs epochs = new WorkerEpochs();
  private final WorkerLease lease = new WorkerLease();
  private final RegistryEntry registryEntry = new RegistryEntry();
  private final PossibleTasks possibleTasks = new PossibleTasks();
  private final CommandDelivery delivery = new CommandDelivery();
  private final ImageCache images = new ImageCache();

  private final MachineTasks tasks;

  /** What the scheduling cycle sees of it; null when something that it shows has changed. */
  private @Nullable MachineView cachedView;

  /**
   * @param silentAfterS after this time without a heartbeat it gets no more tasks
   */
  Machine(String id, double silentAfterS, double now) {
    this.id = id;
    this.health = new MachineHealth(silentAfterS);
    this.tasks = new MachineTasks(now);
    this.existsSince = now;
    this.rentedAt = now;
  }

  public String id() {
    return id;
  }

  /** Type, zone and whether it is a spot machine. */
  public MachineKind kind() {
    return new MachineKind(type, zone, spot);
  }

  /** The name of its type; null as long as neither the cloud nor the worker has named it. */
  public @Nullable String type() {
    return type;
  }

  /** Null as long as neither the cloud nor the worker has named it. */
  public @Nullable String zone() {
    return zone;
  }

  public boolean isSpot() {
    return spot;
  }

  /** Where its worker receives commands; null as long as that is not known. */
  public @Nullable Address address() {
    return address;
  }

  void describe(@Nullable String newType, @Nullable String newZone, boolean newSpot) {
    type = newType;
    zone = newZone;
    spot = newSpot;
  }

  void setAddress(Address newAddress) {
    address = newAddress;
  }

  // Life cycle

  /** Whether new tasks may be placed on it. */
  public boolean isSchedulable(double now) {
    return up
        && reconciled
        && registryEntry.isRegistered()
        && !returning
        && !draining
        && !failed
        && !hasPreemptionNotice()
        && !health.isQuarantined()
        && !health.isInBackoff(now)
        && !health.isSilent(now)
        && !health.isUnresponsive()
        && !tasks.hasUnknown();
  }

  /** Whether the machine can be counted on for later: it works, stays, and is heard. */
  boolean isReliable(double now) {
    boolean leaving = failed || returning || hasPreemptionNotice();
    boolean neverReconciled = up && !reconciled && health.isSilent(now);
    boolean faulty = health.isQuarantined() || health.isUnresponsive() || neverReconciled;
    return !leaving && !faulty;
  }

  /** Whether a message of its worker has arrived, and its lease has not run out since. */
  public boolean isUp() {
    return up;
  }

  public boolean wasEverUp() {
    return !Double.isNaN(firstUpAt);
  }

  void markUp(double now) {
    up = true;
    firstUpAt = Double.isNaN(firstUpAt) ? now : firstUpAt;
    tasks.countIdleFrom(now);
  }

  /** Its worker's lease must have run out: messages of its epoch are ignored from now on. */
  void leaseExpired() {
    epochs.expire();
    up = false;
  }

  public boolean isReconciled() {
    return reconciled;
  }

  /** Its worker has shown this term's fencing token, and so rejects earlier leaders. */
  void reconcile() {
    reconciled = true;
  }

  public boolean hasFailed() {
    return failed;
  }

  /** The cloud says that it has failed: it has stopped, and never runs again. */
  void markFailed() {
    failed = true;
  }

  public boolean isReturning() {
    return returning;
  }

  void markReturning() {
    returning = true;
  }

  public boolean isDraining() {
    return draining;
  }

  /** Its tasks are moved elsewhere, so that it can be returned. */
  void markDraining() {
    draining = true;
  }

  public boolean hasPreemptionNotice() {
    return !Double.isNaN(preemptedAt);
  }

  void preemptionNoticed(double moment) {
    preemptedAt = moment;
  }

  /** Heartbeats, commands and failures: what it can be trusted with. */
  MachineHealth health() {
    return health;
  }

  void markUnresponsive(double now) {
    health.markUnresponsive(now);
    invalidateView();
  }

  /** Whether it failed too many tasks in a row to be given more. */
  public boolean isQuarantined() {
    return health.isQuarantined();
  }

  double existsSince() {
    return existsSince;
  }

  /** It is known to have existed at this moment. */
  void existedAt(double moment) {
    existsSince = Math.min(existsSince, moment);
  }

  public double rentedAt() {
    return rentedAt;
  }

  void rentedAt(double moment) {
    rentedAt = moment;
  }

  /** Since when it has had no attempts; infinity while it has some. */
  public double idleSince() {
    return tasks.idleSince();
  }

  // What is known of its worker

  WorkerEpochs epochs() {
    return epochs;
  }

  WorkerLease lease() {
    return lease;
  }

  RegistryEntry registryEntry() {
    return registryEntry;
  }

  PossibleTasks possibleTasks() {
    return possibleTasks;
  }

  CommandDelivery delivery() {
    return delivery;
  }

  ImageCache images() {
    return images;
  }

  // Its tasks

  MachineTasks tasks() {
    return tasks;
  }

  /** What is, or may be, on it in this moment; a live view. */
  public Collection<Attempt> attempts() {
    return tasks.attempts();
  }

  public int taskCount() {
    return tasks.attempts().size();
  }

  public boolean isEmpty() {
    return tasks.attempts().isEmpty();
  }

  /** CPUs of its attempts as far as their sizes are known. */
  public double usedCpus() {
    return tasks.attempts().stream()
        .map(Attempt::job)
        .mapToDouble(job -> job == null ? 0 : job.cpus())
        .sum();
  }

  /** An attempt is decided: the machine is idle no more. */
  void placeAttempt(Attempt attempt) {
    tasks.place(attempt);
    invalidateView();
  }

  /** The worker shows an attempt that this leader did not know; what it replaces, or null. */
  @Nullable Attempt adoptAttempt(Attempt attempt) {
    invalidateView();
    return tasks.adopt(attempt);
  }

  /** Nothing of the attempt is here any more. */
  void removeAttempt(Attempt attempt, double now) {
    invalidateView();
    tasks.remove(attempt, now);
  }

  /** Nothing runs on it any more, and its worker keeps no exited attempts. */
  void release(double now) {
    tasks.clearExited();
    tasks.countIdleFrom(now);
  }

  /** The worker has begun another epoch, and kept nothing from the one before. */
  void clearExited() {
    tasks.clearExited();
    invalidateView();
  }

  // What others see of it

  /** What the scheduling cycle sees of it, made anew only after something of it has changed. */
  MachineView view(MachineType machineType) {
    MachineView view = cachedView;
    if (view == null || view.isModified()) {
      view =
          new MachineView(
              id, kind(), Resources.capacityOf(machineType), tasks::hasRecordOf, images.images());
      for (Attempt attempt : tasks.attempts()) {
        view.add(
            new PlacedTask(
                attempt.task(),
                Objects.requireNonNull(attempt.job(), "of a schedulable machine"),
                attempt.stopping(),
                attempt.runningSince(),
                attempt.isExemptFromPreemption()));
      }
      cachedView = view;
    }
    return view;
  }

  /** What is known of its tasks has changed other than by a heartbeat. */
  void invalidateView() {
    cachedView = null;
    tasks.forgetApplied();
  }

  /** The tasks of a heartbeat are about to be applied. */
  void applyingTasks() {
    cachedView = null;
  }
}
