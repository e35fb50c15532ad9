package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** The leader's state of one open job: its readiness, tasks, attempts and failures. */
public final class Job {
  /**
   * A job whose tasks failed on this many machines, with none completing in between, is considered
   * at fault itself.
   */
  private static final int MAX_FAILED_MACHINES = 3;

  /** The number of consecutive backoffs after which the backoff no longer grows. */
  private static final int MAX_BACKOFFS = 6;

  /**
   * The specification with the effective priority: the highest of the job's own priority and those
   * of its direct and transitive dependents.
   */
  private JobSpec spec;

  /**
   * Version of the job's key in the state service. The key is set once, so the version also tells
   * when the job was accepted.
   */
  private final long version;

  private final long submittedAtMs;

  /** Whether all dependencies of the job are done; until then none of its tasks may start. */
  private boolean ready = true;

  /** Wall-clock time at which the last dependency was done, in milliseconds. */
  private long readyAtMs;

  /** Whether a worker has reported a running task of the job in this term. */
  private boolean started;

  private boolean outcomeWriteInFlight;

  // Tasks

  private final BitSet finishedTasks;

  /** Finished tasks that are stored in the state service. */
  private final BitSet savedFinishedTasks;

  private final BitSet waitingTasks = new BitSet();
  private final Map<Integer, Attempt> placedAttempts = new HashMap<>();

  /**
   * Further attempts at tasks that already have a placed attempt. After a failover, the heartbeat
   * of an unreconciled machine may show attempts that are no longer there, so a task may appear on
   * two machines and may be running on either.
   */
  private final List<Attempt> duplicateAttempts = new ArrayList<>(0);

  // Launch watermarks

  /** Tasks with this index or a higher one were not launched before this term. */
  private final int inheritedLaunchWatermark;

  /** Tasks below this index may be launched: the state service records that they may have been. */
  private int launchWatermark;

  /** The launch watermark once all requested raises have been written. */
  private int requestedLaunchWatermark;

  // Failures

  /** Machines on which a task of this job has failed since a task of it last completed. */
  private final Set<String> failedMachineIds = new HashSet<>();

  private double backoffUntil = Double.NEGATIVE_INFINITY;
  private int backoffCount;

  Job(JobSpec spec, long version, long submittedAtMs, BitSet finishedTasks, int launchWatermark) {
    this.spec = spec;
    this.version = version;
    this.submittedAtMs = submittedAtMs;
    this.finishedTasks = finishedTasks;
    this.inheritedLaunchWatermark = launchWatermark;
    this.launchWatermark = launchWatermark;
    this.requestedLaunchWatermark = launchWatermark;
    this.savedFinishedTasks = (BitSet) finishedTasks.clone();
    waitingTasks.set(0, spec.tasks());
    waitingTasks.andNot(finishedTasks);
  }

  String id() {
    return spec.id();
  }

  /** Returns the specification with the effective priority, which may exceed the submitted one. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the version of the job's key in the state service. */
  public long version() {
    return version;
  }

  // Readiness

  boolean isReady() {
    return ready;
  }

  /** Marks the job as waiting for dependencies that are not known to be done. */
  void markNotReady() {
    ready = false;
  }

  /**
   * Marks all dependencies of the job as done.
   *
   * @param doneAtMs wall-clock time at which the last one was done, in milliseconds
   */
  void markReady(long doneAtMs) {
    ready = true;
    readyAtMs = doneAtMs;
  }

  /**
   * Returns how long the job has been ready to run, in seconds: since its submission or, if later,
   * since its last dependency was done. Returns 0 if the job is not ready.
   *
   * @param wallMs the current wall-clock time in milliseconds
   */
  public double waitingTimeS(long wallMs) {
    return ready ? (wallMs - Math.max(submittedAtMs, readyAtMs)) / 1000.0 : 0;
  }

  void markStarted() {
    started = true;
  }

  /** Returns whether no task of the job is known to have run, and none has a placed attempt. */
  boolean hasNotStarted() {
    return !started && finishedTasks.isEmpty() && placedAttempts.isEmpty();
  }

  /** Changes the effective priority, also for the attempts that are already on machines. */
  void reprioritize(Priority priority) {
    spec = spec.withPriority(priority);
    for (Attempt attempt : placedAttempts.values()) {
      attempt.updateJob(spec);
      attempt.machine().invalidateView();
    }
    for (Attempt attempt : duplicateAttempts) {
      attempt.updateJob(spec);
      attempt.machine().invalidateView();
    }
  }

  // Attempts

  /** Returns one attempt for each task that is, or may be, on a machine, as a live view. */
  Collection<Attempt> placedAttempts() {
    return placedAttempts.values();
  }

  /** Returns the attempts at tasks that also have a placed attempt. The list is a live view. */
  List<Attempt> duplicateAttempts() {
    return duplicateAttempts;
  }

  @Nullable Attempt placedAttemptAt(int index) {
    return placedAttempts.get(index);
  }

  /** Returns all attempts at a task that are, or may be, on a machine. */
  List<Attempt> attemptsAt(int index) {
    List<Attempt> all = new ArrayList<>(1);
    Attempt placed = placedAttempts.get(index);
    if (placed != null) {
      all.add(placed);
    }
    for (Attempt attempt : duplicateAttempts) {
      if (attempt.task().index() == index) {
        all.add(attempt);
      }
    }
    return all;
  }

  /** Adds an attempt that is, or may be, on a machine. */
  void addAttempt(Attempt attempt) {
    int index = attempt.task().index();
    if (placedAttempts.putIfAbsent(index, attempt) != null) {
      duplicateAttempts.add(attempt);
    }
    waitingTasks.clear(index);
  }

  /**
   * Removes an attempt that is no longer on any machine. The task becomes waiting again only if it
   * is not finished and no other attempt at it may be on a machine.
   */
  void removeAttempt(Attempt attempt) {
    int index = attempt.task().index();
    if (!duplicateAttempts.remove(attempt) && placedAttempts.get(index) == attempt) {
      placedAttempts.remove(index);
      List<Attempt> remaining = attemptsAt(index);
      if (!remaining.isEmpty()) {
        duplicateAttempts.remove(remaining.get(0));
        placedAttempts.put(index, remaining.get(0));
      } else if (!finishedTasks.get(index)) {
        waitingTasks.set(index);
      }
    }
  }

  /** Returns the number of tasks whose placed attempt is running or checkpointing. */
  public int runningTaskCount() {
    int running = 0;
    for (Attempt attempt : placedAttempts.values()) {
      if (attempt.isRunningOrCheckpointing()) {
        running++;
      }
    }
    return running;
  }

  // Waiting and finished tasks

  /**
   * Returns the tasks that are not finished and of which this leader knows no attempt that may be
   * on a machine.
   */
  BitSet waitingTasks() {
    return waitingTasks;
  }

  boolean isWaiting(int index) {
    return waitingTasks.get(index);
  }

  public BitSet finishedTasks() {
    return finishedTasks;
  }

  boolean isFinished(int index) {
    return finishedTasks.get(index);
  }

  /** Marks a task as finished. Returns false if it already was. */
  boolean finishTask(int index) {
    if (finishedTasks.get(index)) {
      return false;
    }
    finishedTasks.set(index);
    waitingTasks.clear(index);
    return true;
  }

  public boolean isComplete() {
    return finishedTasks.cardinality() == spec.tasks();
  }

  /** Returns the finished tasks that are stored in the state service. */
  public BitSet savedFinishedTasks() {
    return savedFinishedTasks;
  }

  void finishedTasksSaved(BitSet tasks) {
    savedFinishedTasks.or(tasks);
  }

  public boolean hasUnsavedTasks() {
    return !finishedTasks.equals(savedFinishedTasks);
  }

  public boolean outcomeWriteInFlight() {
    return outcomeWriteInFlight;
  }

  public void outcomeWriteInFlight(boolean inFlight) {
    outcomeWriteInFlight = inFlight;
  }

  // Launch watermark

  /** Returns whether a task may be launched, without first raising the launch watermark. */
  boolean isLaunchable(int index) {
    return index < launchWatermark;
  }

  /** Returns the launch watermark: tasks below this index may be launched. */
  int launchWatermark() {
    return launchWatermark;
  }

  /**
   * Requests the launch watermark that a task needs. Each raise at least doubles the current one,
   * up to the number of tasks, so that a job needs few writes.
   */
  void requestLaunchWatermark(int index) {
    if (index >= requestedLaunchWatermark) {
      requestedLaunchWatermark = Math.min(spec.tasks(), Math.max(index + 1, 2 * launchWatermark));
    }
  }

  /** Returns the launch watermark that is to be written. */
  public int requestedLaunchWatermark() {
    return requestedLaunchWatermark;
  }

  /** Records a written launch watermark. Returns whether no higher one is requested. */
  boolean launchWatermarkSaved(int watermark) {
    launchWatermark = Math.max(launchWatermark, watermark);
    return launchWatermark >= requestedLaunchWatermark;
  }

  /** Returns the waiting tasks that an earlier leader may have launched. */
  BitSet waitingTasksLaunchedBefore() {
    BitSet tasks = (BitSet) waitingTasks.clone();
    tasks.clear(Math.min(inheritedLaunchWatermark, spec.tasks()), spec.tasks());
    return tasks;
  }

  /**
   * Returns the unfinished tasks that an earlier leader may have launched and that have no attempt
   * on a reconciled machine. An attempt on an unreconciled machine does not exclude its task: the
   * heartbeat that showed it may be outdated, and the task may be on another machine by now.
   */
  BitSet tasksPossiblyOnUnreconciledMachines() {
    BitSet tasks = new BitSet();
    tasks.set(0, Math.min(inheritedLaunchWatermark, spec.tasks()));
    tasks.andNot(finishedTasks);
    clearTasksOnReconciledMachines(placedAttempts.values(), tasks);
    clearTasksOnReconciledMachines(duplicateAttempts, tasks);
    return tasks;
  }

  private static void clearTasksOnReconciledMachines(Collection<Attempt> attempts, BitSet tasks) {
    for (Attempt attempt : attempts) {
      if (attempt.machine().isReconciled()) {
        tasks.clear(attempt.task().index());
      }
    }
  }

  // Failures

  boolean isInBackoff(double now) {
    return now < backoffUntil;
  }

  /**
   * Records that a task failed on a machine. Returns whether tasks of the job have failed on so
   * many machines since one last completed that the job is considered at fault, rather than the
   * machines.
   */
  boolean taskFailedOn(String machineId) {
    failedMachineIds.add(machineId);
    return failedMachineIds.size() >= MAX_FAILED_MACHINES;
  }

  int failedMachineCount() {
    return failedMachineIds.size();
  }

  /**
   * Suspends the placement of the job's tasks. The duration doubles with each backoff in a row.
   *
   * @param now the current time in seconds
   * @param unitS half of the first backoff, in seconds
   * @param maxS the longest backoff, in seconds
   */
  void backOff(double now, double unitS, double maxS) {
    backoffCount = Math.min(backoffCount + 1, MAX_BACKOFFS);
    backoffUntil = now + Math.min(maxS, unitS * (1 << backoffCount));
  }

  void taskCompleted() {
    failedMachineIds.clear();
    backoffCount = 0;
  }
}
