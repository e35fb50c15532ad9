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
 * <p>The life cycle of a machine has no single state, since the information about it comes from
 * four independent sources. {@link #isSchedulable} is the only place that combines them. New tasks
 * are placed on a machine to which all of these apply:
 *
 * <ul>
 *   <li>up: a message of its worker has arrived, and the worker's lease has not expired since. A
 *       machine that is not up is starting or lost, and may be up again later;
 *   <li>reconciled: a message of its worker has shown this term's fencing token. A reconciled
 *       machine stays reconciled;
 *   <li>registered, and therefore not cordoned ({@link RegistryEntry});
 * </ul>
 *
 * <p>and to which none of these applies:
 *
 * <ul>
 *   <li>failed, returning, draining, or under a preemption notice: the machine is leaving, and
 *       nothing reverts that;
 *   <li>quarantined: {@link MachineHealth#MAX_CONSECUTIVE_FAILURES} tasks in a row failed on it.
 *       The quarantine ends when a task completes there;
 *   <li>in backoff, until a given moment after a refusal or a failure;
 *   <li>silent: heartbeats that were due have not arrived. The next heartbeat ends this;
 *   <li>unresponsive: its heartbeats arrive, but it seems to receive no commands. Proof that a
 *       command has arrived ends this;
 *   <li>holding a task of a job that ended before this term, since the size of that task is
 *       unknown.
 * </ul>
 */
public final class Machine {
  private final String id;

  // Description

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

  private double rentedAt;
  private double firstUpAt = Double.NaN;

  private final MachineExistence existence;
  private final MachineHealth health;
  private final WorkerEpochs epochs = new WorkerEpochs();
  private final WorkerLease lease = new WorkerLease();
  private final RegistryEntry registryEntry = new RegistryEntry();
  private final PossibleTasks possibleTasks = new PossibleTasks();
  private final CommandDelivery delivery;
  private final ImageCache images = new ImageCache();

  private final MachineTasks tasks;

  /** View for the scheduling cycle; null when something that it shows has changed. */
  private @Nullable MachineView cachedView;

  /**
   * Creates a machine that has not been heard from.
   *
   * @param silentAfterS the time without a heartbeat after which the machine gets no more tasks
   * @param firstFencingToken the first fencing token of this term
   */
  Machine(String id, double silentAfterS, long firstFencingToken, double now) {
    this.id = id;
    this.delivery = new CommandDelivery(firstFencingToken);
    this.health = new MachineHealth(silentAfterS);
    this.tasks = new MachineTasks(now);
    this.existence = new MachineExistence(now);
    this.rentedAt = now;
  }

  public String id() {
    return id;
  }

  /** Returns the type, the zone and whether it is a spot machine. */
  public MachineKind kind() {
    return new MachineKind(type, zone, spot);
  }

  /**
   * Returns the name of the machine type, or null until the cloud or the worker has reported it.
   */
  public @Nullable String type() {
    return type;
  }

  /** Returns the zone, or null until the cloud or the worker has reported it. */
  public @Nullable String zone() {
    return zone;
  }

  public boolean isSpot() {
    return spot;
  }

  /** Returns the address at which the worker receives commands, or null until it is known. */
  public @Nullable Address address() {
    return address;
  }

  void updateDescription(@Nullable String newType, @Nullable String newZone, boolean newSpot) {
    type = newType;
    zone = newZone;
    spot = newSpot;
  }

  void setAddress(Address newAddress) {
    address = newAddress;
  }

  // Life cycle

  /** Returns whether new tasks may be placed on the machine. */
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
        && !tasks.hasTaskOfUnknownSize();
  }

  /**
   * Returns whether the machine can be counted on as future capacity: its existence is confirmed,
   * it is not leaving, shows no fault, and has not gone silent before it was reconciled.
   */
  boolean isReliable(double now) {
    boolean leaving = failed || returning || hasPreemptionNotice();
    boolean silentUnreconciled = up && !reconciled && health.isSilent(now);
    boolean faulty = health.isQuarantined() || health.isUnresponsive() || silentUnreconciled;
    return existence.isConfirmed() && !leaving && !faulty;
  }

  /** Returns whether a message of the worker has arrived and its lease has not expired since. */
  public boolean isUp() {
    return up;
  }

  public boolean wasEverUp() {
    return !Double.isNaN(firstUpAt);
  }

  void markUp(double now) {
    up = true;
    firstUpAt = Double.isNaN(firstUpAt) ? now : firstUpAt;
    tasks.setIdleSince(now);
  }

  /** Handles the expiry of the worker's lease: messages of its epoch are ignored from now on. */
  void leaseExpired() {
    epochs.expire();
    up = false;
  }

  public boolean isReconciled() {
    return reconciled;
  }

  /**
   * Marks the machine as reconciled: its worker has shown this term's fencing token, so it rejects
   * commands of earlier leaders.
   */
  void markReconciled() {
    reconciled = true;
    existence.confirm();
  }

  /** Returns whether more than messages of earlier terms shows that the machine exists. */
  public boolean isExistenceConfirmed() {
    return existence.isConfirmed();
  }

  MachineExistence existence() {
    return existence;
  }

  public boolean hasFailed() {
    return failed;
  }

  /**
   * Marks the machine as failed: the cloud reports that it has stopped, and it never runs again.
   */
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

  /** Marks the machine as draining: its tasks are moved elsewhere so that it can be returned. */
  void markDraining() {
    draining = true;
  }

  public boolean hasPreemptionNotice() {
    return !Double.isNaN(preemptedAt);
  }

  void preemptionNoticeReceived(double moment) {
    preemptedAt = moment;
  }

  /** Returns the health of the machine as shown by heartbeats, commands and task failures. */
  MachineHealth health() {
    return health;
  }

  void markUnresponsive(double now) {
    health.markUnresponsive(now);
    invalidateView();
  }

  /** Returns whether too many tasks in a row failed on the machine for it to get more. */
  public boolean isQuarantined() {
    return health.isQuarantined();
  }

  public double rentedAt() {
    return rentedAt;
  }

  void rentedAt(double moment) {
    rentedAt = moment;
  }

  /** Returns the moment since which the machine has had no attempts; infinity while it has some. */
  public double idleSince() {
    return tasks.idleSince();
  }

  // Worker and registry entry

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

  /** Returns the fencing token of the messages to the worker. */
  public long fencingToken() {
    return delivery.fencingToken();
  }

  ImageCache images() {
    return images;
  }

  // Tasks

  MachineTasks tasks() {
    return tasks;
  }

  /** Returns a live view of the attempts that are, or may be, on the machine. */
  public Collection<Attempt> attempts() {
    return tasks.attempts();
  }

  public int taskCount() {
    return tasks.attempts().size();
  }

  public boolean isEmpty() {
    return tasks.attempts().isEmpty();
  }

  /** Returns the CPUs of all attempts that occupy the machine and whose size is known. */
  public double usedCpus() {
    return tasks.active().stream()
        .map(Attempt::job)
        .mapToDouble(job -> job == null ? 0 : job.cpus())
        .sum();
  }

  /** Adds an attempt that this leader has decided to launch; the machine is no longer idle. */
  void placeAttempt(Attempt attempt) {
    tasks.place(attempt);
    invalidateView();
  }

  /**
   * Adds an attempt that the worker reports and that this leader did not know.
   *
   * @return the attempt that it replaces, or null
   */
  @Nullable Attempt adoptAttempt(Attempt attempt) {
    invalidateView();
    return tasks.adopt(attempt);
  }

  /** Removes an attempt that is no longer on the machine. */
  void removeAttempt(Attempt attempt, double now) {
    invalidateView();
    tasks.remove(attempt, now);
  }

  /** Records that nothing runs on the machine and that its worker keeps no exited attempts. */
  void allTasksEnded(double now) {
    tasks.clearExited();
    tasks.setIdleSince(now);
  }

  /** Removes the exited attempts, which the worker does not keep when it begins a new epoch. */
  void clearExited() {
    tasks.clearExited();
    invalidateView();
  }

  // View for the scheduling cycle

  /** Returns the view for the scheduling cycle, which is rebuilt only after a change. */
  MachineView view(MachineType machineType) {
    MachineView view = cachedView;
    if (view == null || view.isModified()) {
      view =
          new MachineView(
              id, kind(), Resources.capacityOf(machineType), tasks::hasRecordOf, images.images());
      for (Attempt attempt : tasks.active()) {
        view.add(
            new PlacedTask(
                attempt.task(),
                Objects.requireNonNull(attempt.job(), "job of an attempt on a schedulable machine"),
                attempt.isStopping(),
                attempt.runningSince(),
                attempt.isExemptFromPreemption()));
      }
      cachedView = view;
    }
    return view;
  }

  /** Handles a change of the machine or its tasks that does not come from a heartbeat. */
  void invalidateView() {
    cachedView = null;
    tasks.clearLastApplied();
  }

  /** Discards the cached view; called before the tasks of a heartbeat are applied. */
  void beforeTasksApplied() {
    cachedView = null;
  }
}
