package org.saffronshore.cluster;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/**
 * All that a machine can hold from earlier terms as long as it is unreconciled: the tasks that its
 * registry entry names, or anything.
 */
final class PossibleTasks {
  /** Null when it may be anything. */
  private @Nullable Set<TaskId> tasks;

  /** Specifications of those among the tasks whose jobs ended in this term. */
  private final Map<TaskId, JobSpec> specsOfEndedJobs = new HashMap<>();

  /** Takes what the registry says; null for anything. */
  void loaded(@Nullable Set<TaskId> named) {
    tasks = named == null ? null : new HashSet<>(named);
  }

  boolean mayBeAnyTask() {
    return tasks == null;
  }

  /** The tasks that the registry names; none when it may be anything. */
  Set<TaskId> namedTasks() {
    return tasks == null ? Set.of() : tasks;
  }

  /** The specification of a task's job that ended in this term, or null. */
  @Nullable JobSpec specOfEndedJob(TaskId task) {
    return specsOfEndedJobs.get(task);
  }

  /** Whether one of these tasks of a job may be among them. */
  boolean includeAny(Job job, BitSet indexes) {
    String id = job.id();
    return tasks == null
        || tasks.stream().anyMatch(task -> task.job().equals(id) && indexes.get(task.index()));
  }

  /** A job is over. Its tasks may still run on the machine, except for the finished ones. */
  void jobEnded(Job job) {
    if (tasks == null) {
      return;
    }
    String id = job.id();
    tasks.removeIf(task -> task.job().equals(id) && job.isFinished(task.index()));
    for (TaskId task : tasks) {
      if (task.job().equals(id)) {
        specsOfEndedJobs.put(task, job.spec());
      }
    }
  }
}
