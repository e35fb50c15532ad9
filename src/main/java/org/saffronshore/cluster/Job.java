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
  long readyMs;

  /** Version of the job's key: it is set once, so this is also when the job was accepted. */
  final long version;

  final long submittedMs;
  final BitSet done;

  /** Finished tasks that the state service knows of. */
  final BitSet saved;

  final BitSet waiting = new BitSet();

  /** No task from this one on was launched before this term. */
  final int inheritedLaunchMark;

  /** Tasks below this one may be launched: the state service knows that they may have been. */
  int launchMark;

  /** The same once what is asked for now is written down. */
  int wantedLaunchMark;

  final Map<Integer, Attempt> placed = new HashMap<>();

  /**
   * Attempts beside the placed one at the same task. After a change of leader a machine that is not
   * confirmed may show what is not there any more, so a task may seem to be in two places; it may
   * run in either.
   */
  final List<Attempt> others = new ArrayList<>(0);

  /** Whether any task of it was seen to run. */
  boolean begun;

  /** Machines on which a task of this job failed, since the last time one succeeded. */
  final Set<String> failedOn = new HashSet<>();

  double backOffUntil = Double.NEGATIVE_INFINITY;
  int backOffs;
  boolean saving;

  Job(JobSpec spec, long version, long submittedMs, BitSet done, int launchMark) {
    this.spec = spec;
    this.version = version;
    this.submittedMs = submittedMs;
    this.done = done;
    this.inheritedLaunchMark = launchMark;
    this.launchMark = launchMark;
    this.wantedLaunchMark = launchMark;
    this.saved = (BitSet) done.clone();
    waiting.set(0, spec.tasks());
    waiting.andNot(done);
  }

  /** All attempts at a task that may be somewhere. */
  List<Attempt> attemptsAt(int index) {
    List<Attempt> all = new ArrayList<>(1);
    if (placed.containsKey(index)) {
      all.add(placed.get(index));
    }
    for (Attempt a : others) {
      if (a.task.index() == index) {
        all.add(a);
      }
    }
    return all;
  }

  /** One more attempt at a task is, or may be, somewhere. */
  void enter(Attempt a) {
    if (placed.putIfAbsent(a.task.index(), a) != null) {
      others.add(a);
    }
    waiting.clear(a.task.index());
  }

  /**
   * The attempt is nowhere any more. The task waits again only when no other attempt at it may be
   * somewhere.
   */
  void leave(Attempt a) {
    int index = a.task.index();
    if (!others.remove(a) && placed.get(index) == a) {
      placed.remove(index);
      List<Attempt> left = attemptsAt(index);
      if (!left.isEmpty()) {
        others.remove(left.get(0));
        placed.put(index, left.get(0));
      } else if (!done.get(index)) {
        waiting.set(index);
      }
    }
  }

  /** Whether a task may be launched, or whether it must first be written down that it may be. */
  boolean launchable(int index) {
    return index < launchMark;
  }

  /**
   * Asks for the reach that a task needs; twice what there is at the least, so that a job needs few
   * writes.
   */
  void requestLaunchMark(int index) {
    if (index >= wantedLaunchMark) {
      wantedLaunchMark = Math.min(spec.tasks(), Math.max(index + 1, 2 * launchMark));
    }
  }

  /** How far it is to be written down that its tasks may have been launched. */
  public int wantedLaunchMark() {
    return wantedLaunchMark;
  }

  /** Waiting tasks that an earlier leader may have launched. */
  BitSet launchedBefore() {
    BitSet all = (BitSet) waiting.clone();
    all.clear(Math.min(inheritedLaunchMark, spec.tasks()), spec.tasks());
    return all;
  }

  /**
   * Tasks that an earlier leader may have launched and that no machine accounted for has shown.
   * What another machine's report shows may be over, and the task may be elsewhere by now.
   */
  BitSet launchedUnconfirmed() {
    BitSet all = new BitSet();
    all.set(0, Math.min(inheritedLaunchMark, spec.tasks()));
    all.andNot(done);
    placed.values().stream()
        .filter(a -> a.machine.confirmed)
        .forEach(a -> all.clear(a.task.index()));
    others.stream().filter(a -> a.machine.confirmed).forEach(a -> all.clear(a.task.index()));
    return all;
  }

  /**
   * For how long its tasks could have run, at a time of day: not while it waited for other jobs.
   */
  public double waitedS(long wallMs) {
    return ready ? (wallMs - Math.max(submittedMs, readyMs)) / 1000.0 : 0;
  }

  /** From now on another priority counts, for its tasks that are on machines too. */
  void reprioritize(Priority priority) {
    spec = spec.at(priority);
    for (Attempt a : placed.values()) {
      a.job = spec;
      a.machine.changed();
    }
    for (Attempt a : others) {
      a.job = spec;
      a.machine.changed();
    }
  }

  public JobSpec spec() {
    return spec;
  }

  public long version() {
    return version;
  }

  public BitSet doneTasks() {
    return done;
  }

  public BitSet savedTasks() {
    return saved;
  }

  public boolean saving() {
    return saving;
  }

  public void saving(boolean now) {
    saving = now;
  }

  public boolean complete() {
    return done.cardinality() == spec.tasks();
  }

  public boolean unsaved() {
    return !done.equals(saved);
  }

  /** How many tasks run or are saving. */
  public int running() {
    int running = 0;
    for (Attempt a : placed.values()) {
      if (a.state == Attempt.State.RUNNING || a.state == Attempt.State.SAVING) {
        running++;
      }
    }
    return running;
  }
}
