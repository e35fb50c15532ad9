package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What earlier leaders may have left behind, on which nothing may be started twice.
 *
 * <p>Invariant: a task that an earlier leader may have launched, and that may still run or start,
 * is at every moment either an attempt of a machine, or one of the possible tasks of an
 * unreconciled machine. A machine is unreconciled from when the registry names it until one of
 * these: a message of its worker shows this term's fencing token, its worker's lease must have run
 * out, or the cloud says that it has failed or does not exist. Then its attempts are all that it
 * holds.
 *
 * <p>So a task may be placed when no attempt at it is known and no unreconciled machine may hold
 * it. Jobs that were accepted in this term are exempt, since no earlier leader knew them; so are
 * tasks from the job's launch watermark on, which were never launched.
 */
final class Reconciliation {
  private final JobTable jobs;
  private final Set<Machine> unreconciled = new LinkedHashSet<>();

  Reconciliation(JobTable jobs) {
    this.jobs = jobs;
  }

  /** The registry of earlier terms names the machine. */
  void add(Machine machine) {
    unreconciled.add(machine);
  }

  /** All that the machine holds is known now, or it holds nothing. */
  void remove(Machine machine) {
    unreconciled.remove(machine);
  }

  boolean isUnreconciled(Machine machine) {
    return unreconciled.contains(machine);
  }

  /** A live view. */
  Set<Machine> machines() {
    return unreconciled;
  }

  /** A job is over: of its tasks only the unfinished ones may still be on machines. */
  void jobEnded(Job job) {
    unreconciled.forEach(machine -> machine.possibleTasks().jobEnded(job));
  }

  /** Whether tasks of the job may be on unreconciled machines: it is older than this term. */
  boolean mayRunOnUnreconciled(Job job) {
    return !unreconciled.isEmpty() && jobs.wasAcceptedBeforeTerm(job);
  }

  /** Whether a task of the job may be on an unreconciled machine, in a zone that is not known. */
  boolean mayRunInUnknownZone(Job job) {
    if (!mayRunOnUnreconciled(job)) {
      return false;
    }
    BitSet tasks = job.tasksPossiblyOnUnreconciledMachines();
    return !tasks.isEmpty()
        && unreconciled.stream()
            .anyMatch(machine -> machine.possibleTasks().includeAny(job, tasks));
  }

  /** Whether the registry does not name the tasks of one of the unreconciled machines. */
  boolean anyMayHoldAnything() {
    return unreconciled.stream().anyMatch(machine -> machine.possibleTasks().isAnything());
  }
}
