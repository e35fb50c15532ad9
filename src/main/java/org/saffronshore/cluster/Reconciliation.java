package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.saffronshore.wire.TaskId;

/**
 * The set of unreconciled machines: machines that may hold tasks launched by earlier leaders which
 * this leader does not know of. It prevents such tasks from being started a second time, and
 * decides whether a task that a worker's message shows may be on its machine now.
 *
 * <p>Invariant: at every moment, a task that an earlier leader may have launched, and that may
 * still run or start, is either an attempt of a machine or one of the possible tasks of an
 * unreconciled machine. A machine becomes unreconciled when the registry of earlier terms names it,
 * unless its worker has already shown this term's fencing token. It remains so until one of these
 * events:
 *
 * <ul>
 *   <li>a message of its worker shows this term's fencing token or a later one;
 *   <li>its worker's lease must have expired;
 *   <li>the cloud reports that the machine has failed, or its responses or machine lists show that
 *       the machine no longer exists.
 * </ul>
 *
 * <p>From then on, its attempts are all that it holds.
 *
 * <p>Consequently, a task may be placed when no attempt at it is known and no unreconciled machine
 * may hold it. Jobs that were accepted in this term are exempt from the second condition, since no
 * earlier leader knew them; so are tasks at or above the launch watermark that the job had when the
 * term began, which no earlier leader launched.
 *
 * <p>A message without this term's fencing token may be outdated: it states what its machine held
 * when it was sent, and the machine may not even exist any more. By the invariant, such a message
 * adds nothing to what may be on machines. It is therefore only believed as far as the registry
 * confirms it ({@link #mayHold}). What it states for ever is always believed: that an attempt has
 * exited, and that a task has completed.
 */
final class Reconciliation {
  private final JobTable jobs;
  private final Set<Machine> unreconciled = new LinkedHashSet<>();

  Reconciliation(JobTable jobs) {
    this.jobs = jobs;
  }

  /** Adds a machine that the registry of earlier terms names. */
  void add(Machine machine) {
    unreconciled.add(machine);
  }

  /** Removes a machine whose tasks are now all known, or that holds none. */
  void remove(Machine machine) {
    unreconciled.remove(machine);
  }

  boolean isUnreconciled(Machine machine) {
    return unreconciled.contains(machine);
  }

  /** Returns a live view of the unreconciled machines. */
  Set<Machine> unreconciledMachines() {
    return unreconciled;
  }

  /**
   * Returns whether a task that a message of the machine shows may be on the machine now. If not,
   * the message is outdated.
   *
   * <p>The tasks that a reconciled machine shows are on it. An unreconciled machine may hold the
   * tasks that its registry entry allows, except for those that a reconciled machine holds: an
   * earlier leader launched them there only after they had ended elsewhere. Any other machine holds
   * no tasks of earlier terms: it was never registered, its entry was removed because the machine
   * no longer exists, or its worker's lease must have expired.
   */
  boolean mayHold(Machine machine, TaskId task) {
    if (machine.isReconciled()) {
      return true;
    }
    return unreconciled.contains(machine)
        && machine.possibleTasks().include(task)
        && !isOnReconciledMachine(task);
  }

  /**
   * Returns whether the machine may hold any task now. A machine that may not is gone, or has not
   * received its first message of this term yet.
   */
  boolean mayHoldTasks(Machine machine) {
    return machine.isReconciled() || unreconciled.contains(machine);
  }

  private boolean isOnReconciledMachine(TaskId task) {
    Job job = jobs.get(task.job());
    return job != null
        && job.attemptsAt(task.index()).stream()
            .anyMatch(attempt -> attempt.machine().isReconciled());
  }

  /** Handles the end of a job: only its unfinished tasks may still be on unreconciled machines. */
  void jobEnded(Job job) {
    unreconciled.forEach(machine -> machine.possibleTasks().jobEnded(job));
  }

  /**
   * Returns whether tasks of the job may be on unreconciled machines, which is the case while there
   * are any and the job is older than this term.
   */
  boolean mayRunOnUnreconciledMachine(Job job) {
    return !unreconciled.isEmpty() && jobs.wasAcceptedBeforeTerm(job);
  }

  /** Returns whether a task of the job may be on an unreconciled machine, in an unknown zone. */
  boolean mayRunInUnknownZone(Job job) {
    if (!mayRunOnUnreconciledMachine(job)) {
      return false;
    }
    BitSet tasks = job.tasksPossiblyOnUnreconciledMachines();
    return !tasks.isEmpty()
        && unreconciled.stream()
            .anyMatch(machine -> machine.possibleTasks().includeAny(job, tasks));
  }

  /**
   * Returns whether there is an unreconciled machine whose possible tasks the registry does not
   * list, so that it may hold any task.
   */
  boolean anyMayHoldAnyTask() {
    return unreconciled.stream().anyMatch(machine -> machine.possibleTasks().mayBeAnyTask());
  }
}
