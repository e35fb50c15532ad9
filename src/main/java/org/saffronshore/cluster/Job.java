package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/** A job that is not over, as the leader knows it. */
public final class Job {
  /** With the priority that counts: the highest of its own and of the jobs that need it. */
  JobSpec spec;

  /** Whether all jobs that it needs are done; until then none of its tasks may start. */
  boolean ready = true;

  /** When the last of them was done, at a time of day. */
  long readyAtMs;

  /** Version of the job's key: it is set once, so this is also when the job was accepted. */
  final long version;

  final long submittedAtMs;
  final BitSet finishedTasks;

  /** Finished tasks that the state service knows of. */
  final BitSet savedFinishedTasks;

  final BitSet waitingTasks = new BitSet();

  /** No task from this one on was launched before this term. */
  final int inheritedLaunchWatermark;

  /** Tasks below this one may be launched: the state service knows that they may have been. */
  int launchWatermark;

  /** The same once what is asked for now is written down. */
  int requestedLaunchWatermark;

  final Map<Integer, Attempt> placed = new HashMap<>();

  /**
   * Attempts beside the placed one at the same task. After a change of leader a machine that is not
   * confirmed may show what is not there any more, so a task may seem to be in two places; it may
   * run in either.
   */
  final List<Attempt> duplicateAttempts = new ArrayList<>(0);

  /** Whether any task of it was seen to run. */
  boolean hasStarted;

  /** Machines on which a task of this job failed, since the last time one succeeded. */
  final Set<String> failedOn = new HashSet<>();

  double backoffUntil = Double.NEGATIVE_INFINITY;
  int backoffCount;
  boolean outcomeWriteInFlight;

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

  /** All attempts at a task that may be somewhere. */
  List<Attempt> attemptsAt(int index) {
    List<Attempt> all = new ArrayList<>(1);
    if (placed.containsKey(index)) {
      all.add(placed.get(index));
    }
    for (Attempt a : duplicateAttempts) {
      if (a.task.index() == index) {
        all.add(a);
      }
    }
    return all;
  }

  /** One more attempt at a task is, or may be, somewhere. */
  void addAttempt(Attempt a) {
    if (placed.putIfAbsent(a.task.index(), a) != null) {
      duplicateAttempts.add(a);
    }
    waitingTasks.clear(a.task.index());
  }

  /**
   * The attempt is nowhere any more. The task waits again only when no other attempt at it may be
   * somewhere.
   */
  void removeAttempt(Attempt a) {
    int index = a.task.index();
    if (!duplicateAttempts.remove(a) && placed.get(index) == a) {
      placed.remove(index);
      List<Attempt> left = attemptsAt(index);
      if (!left.isEmpty()) {
        duplicateAttempts.remove(left.get(0));
        placed.put(index, left.get(0));
      } else if (!finishedTasks.get(index)) {
        waitingTasks.set(index);
      }
    }
  }

  /** Whether a task may be launched, or whether it must first be written down that it may be. */
  boolean isLaunchable(int index) {
    return index < launchWatermark;
  }

  /**
   * Asks for the reach that a task needs; twice what there is at the least, so that a job needs few
   * writes.
   */
  void requestLaunchWatermark(int index) {
    if (index >= requestedLaunchWatermark) {
      requestedLaunchWatermark = Math.min(spec.tasks(), Math.max(index + 1, 2 * launchWatermark));
    }
  }

  /** How far it is to be written down that its tasks may have been launched. */
  public int requestedLaunchWatermark() {
    return requestedLaunchWatermark;
  }

  /** Waiting tasks that an earlier leader may have launched. */
  BitSet waitingTasksLaunchedBefore() {
    BitSet all = (BitSet) waitingTasks.clone();
    all.clear(Math.min(inheritedLaunchWatermark, spec.tasks()), spec.tasks());
    return all;
  }

  /**
   * Tasks that an earlier leader may have launched and that no machine accounted for has shown.
   * What another machine's report shows may be over, and the task may be elsewhere by now.
   */
  BitSet launchedOnUnreconciled() {
    BitSet all = new BitSet();
    all.set(0, Math.min(inheritedLaunchWatermark, spec.tasks()));
    all.andNot(finishedTasks);
    placed.values().stream()
        .filter(a -> a.machine.reconciled)
        .forEach(a -> all.clear(a.task.index()));
    duplicateAttempts.stream()
        .filter(a -> a.machine.reconciled)
        .forEach(a -> all.clear(a.task.index()));
    return all;
  }

  /**
   * For how long its tasks could have run, at a time of day: not while it waited for other jobs.
   */
  public double waitingTimeS(long wallMs) {
    return ready ? (wallMs - Math.max(submittedAtMs, readyAtMs)) / 1000.0 : 0;
  }

  /** From now on another priority counts, for its tasks that are on machines too. */
  void reprioritize(Priority priority) {
    spec = spec.withPriority(priority);
    for (Attempt a : placed.values()) {
      a.job = spec;
      a.machine.invalidateView();
    }
    for (Attempt a : duplicateAttempts) {
      a.job = spec;
      a.machine.invalidateView();
    }
  }

  public JobSpec spec() {
    return spec;
  }

  public long version() {
    return version;
  }

  public BitSet finishedTasks() {
    return finishedTasks;
  }

  public BitSet savedFinishedTasks() {
    return savedFinishedTasks;
  }

  public boolean outcomeWriteInFlight() {
    return outcomeWriteInFlight;
  }

  public void outcomeWriteInFlight(boolean now) {
    outcomeWriteInFlight = now;
  }

  public boolean isComplete() {
    return finishedTasks.cardinality() == spec.tasks();
  }

  public boolean hasUnsavedTasks() {
    return !finishedTasks.equals(savedFinishedTasks);
  }

  /** How many tasks run or are saving. */
  public int runningTaskCount() {
    int running = 0;
    for (Attempt a : placed.values()) {
      if (a.state == Attempt.State.RUNNING || a.state == Attempt.State.CHECKPOINTING) {
        running++;
      }
    }
    return running;
  }
}
