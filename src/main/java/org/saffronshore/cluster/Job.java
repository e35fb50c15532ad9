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

/** An open job as the leader knows it. */
public final class Job {
  /** A job that failed on this many machines in a row is itself at fault. */
  private static final int MAX_FAILED_MACHINES = 3;

  /** After this many backoffs in a row they grow no longer. */
  private static final int MAX_BACKOFFS = 6;

  /**
   * With the priority that counts: the highest of its own and of the jobs that depend on it,
   * directly or through others.
   */
  private JobSpec spec;

  /** Version of the job's key: it is set once, so this is also when the job was accepted. */
  private final long version;

  private final long submittedAtMs;

  /** Whether all its dependencies are done; until then none of its tasks may start. */
  private boolean ready = true;

  /** Time of day at which the last of them was done. */
  private long readyAtMs;

  /** Whether any task of it was seen to run. */
  private boolean started;

  private boolean outcomeWriteInFlight;

  // Its tasks

  private final BitSet finishedTasks;

  /** Finished tasks that the state service knows of. */
  private final BitSet savedFinishedTasks;

  private final BitSet waitingTasks = new BitSet();
  private final Map<Integer, Attempt> placedAttempts = new HashMap<>();

  /**
   * Attempts beside the placed one at the same task. After a failover an unreconciled machine may
   * show what is not there any more, so a task may seem to be in two places; it may run in either.
   */
  private final List<Attempt> duplicateAttempts = new ArrayList<>(0);

  // How far its tasks may have been launched

  /** No task from this one on was launched before this term. */
  private final int inheritedLaunchWatermark;

  /** Tasks below this one may be launched: the state service knows that they may have been. */
  private int launchWatermark;

  /** The same once what is requested now is written. */
  private int requestedLaunchWatermark;

  // Failures

  /** Machines on which a task of this job failed, since the last time one completed. */
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

  /** With the priority that counts, which may be higher than its own. */
  public JobSpec spec() {
    return spec;
  }

  /** Version of the job's key in the state service. */
  public long version() {
    return version;
  }

  // Readiness

  boolean isReady() {
    return ready;
  }

  /** It has dependencies, which are not known to be done. */
  void markNotReady() {
    ready = false;
  }

  /** All its dependencies are done since a time of day. */
  void markReady(long atMs) {
    ready = true;
    readyAtMs = atMs;
  }

  /** For how long its tasks could have run, at a time of day; its dependencies are left out. */
  public double waitingTimeS(long wallMs) {
    return ready ? (wallMs - Math.max(submittedAtMs, readyAtMs)) / 1000.0 : 0;
  }

  void markStarted() {
    started = true;
  }

  /** Whether nothing of it has ever run, or may run now. */
  boolean hasNotStarted() {
    return !started && finishedTasks.isEmpty() && placedAttempts.isEmpty();
  }

  /** From now on another priority counts, for its tasks that are on machines too. */
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

  /** One for each task that is, or may be, somewhere; a live view. */
  Collection<Attempt> placedAttempts() {
    return placedAttempts.values();
  }

  /** Those beside the placed ones; a live view. */
  List<Attempt> duplicateAttempts() {
    return duplicateAttempts;
  }

  @Nullable Attempt placedAttemptAt(int index) {
    return placedAttempts.get(index);
  }

  /** All attempts at a task that may be somewhere. */
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

  /** One more attempt at a task is, or may be, somewhere. */
  void addAttempt(Attempt attempt) {
    int index = attempt.task().index();
    if (placedAttempts.putIfAbsent(index, attempt) != null) {
      duplicateAttempts.add(attempt);
    }
    waitingTasks.clear(index);
  }

  /**
   * The attempt is nowhere any more. The task waits again only when no other attempt at it may be
   * somewhere.
   */
  void removeAttempt(Attempt attempt) {
    int index = attempt.task().index();
    if (!duplicateAttempts.remove(attempt) && placedAttempts.get(index) == attempt) {
      placedAttempts.remove(index);
      List<Attempt> left = attemptsAt(index);
      if (!left.isEmpty()) {
        duplicateAttempts.remove(left.get(0));
        placedAttempts.put(index, left.get(0));
      } else if (!finishedTasks.get(index)) {
        waitingTasks.set(index);
      }
    }
  }

  /** How many tasks run or save their progress. */
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

  /** Tasks that are neither finished nor, as far as messages have shown, somewhere. */
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

  /** A task has completed; false when that was known. */
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

  /** Finished tasks that the state service knows of. */
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

  public void outcomeWriteInFlight(boolean now) {
    outcomeWriteInFlight = now;
  }

  // Launch watermark

  /** Whether a task may be launched; if not, the watermark has to be written first. */
  boolean isLaunchable(int index) {
    return index < launchWatermark;
  }

  /** Tasks below this one may be launched. */
  int launchWatermark() {
    return launchWatermark;
  }

  /**
   * Requests the watermark that a task needs; twice the present one at the least, so that a job
   * needs few writes.
   */
  void requestLaunchWatermark(int index) {
    if (index >= requestedLaunchWatermark) {
      requestedLaunchWatermark = Math.min(spec.tasks(), Math.max(index + 1, 2 * launchWatermark));
    }
  }

  /** The watermark that is to be written. */
  public int requestedLaunchWatermark() {
    return requestedLaunchWatermark;
  }

  /** The watermark was written; true when none is requested beyond it. */
  boolean launchWatermarkSaved(int watermark) {
    launchWatermark = Math.max(launchWatermark, watermark);
    return launchWatermark >= requestedLaunchWatermark;
  }

  /** Waiting tasks that an earlier leader may have launched. */
  BitSet waitingTasksLaunchedBefore() {
    BitSet all = (BitSet) waitingTasks.clone();
    all.clear(Math.min(inheritedLaunchWatermark, spec.tasks()), spec.tasks());
    return all;
  }

  /**
   * Tasks that an earlier leader may have launched and that no reconciled machine has shown. What
   * an unreconciled machine's heartbeat shows may be over, and the task may be elsewhere by now.
   */
  BitSet tasksPossiblyOnUnreconciledMachines() {
    BitSet all = new BitSet();
    all.set(0, Math.min(inheritedLaunchWatermark, spec.tasks()));
    all.andNot(finishedTasks);
    clearTasksOnReconciledMachines(placedAttempts.values(), all);
    clearTasksOnReconciledMachines(duplicateAttempts, all);
    return all;
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
   * A task has failed on a machine; true when it has failed on so many since one completed that the
   * job is at fault, and not the machines.
   */
  boolean taskFailedOn(String machineId) {
    failedMachineIds.add(machineId);
    return failedMachineIds.size() >= MAX_FAILED_MACHINES;
  }

  int failedMachineCount() {
    return failedMachineIds.size();
  }

  /** None of its tasks is placed for a while, which doubles each time and never exceeds a bound. */
  void backOff(double now, double unitS, double maxS) {
    backoffCount = Math.min(backoffCount + 1, MAX_BACKOFFS);
    backoffUntil = now + Math.min(maxS, unitS * (1 << backoffCount));
  }

  void taskCompleted() {
    failedMachineIds.clear();
    backoffCount = 0;
  }
}
