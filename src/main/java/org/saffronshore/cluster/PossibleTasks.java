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
 * The tasks of earlier terms that a machine may hold while it is unreconciled: those that its
 * registry entry lists, or any task if the entry has no list.
 */
final class PossibleTasks {
  /** Null if the machine may hold any task. */
  private @Nullable Set<TaskId> tasks;

  /** Job specifications of the possible tasks whose jobs ended in this term. */
  private final Map<TaskId, JobSpec> specsOfEndedJobs = new HashMap<>();

  /** Sets the tasks that the registry entry lists; null if the machine may hold any task. */
  void loaded(@Nullable Set<TaskId> listed) {
    tasks = listed == null ? null : new HashSet<>(listed);
  }

  boolean mayBeAnyTask() {
    return tasks == null;
  }

  /** Returns whether the machine may hold the task. */
  boolean include(TaskId task) {
    return tasks == null || tasks.contains(task);
  }

  /** Returns the tasks that the registry entry lists; empty if the machine may hold any task. */
  Set<TaskId> listedTasks() {
    return tasks == null ? Set.of() : tasks;
  }

  /** Returns the specification of the task's job if that job ended in this term, otherwise null. */
  @Nullable JobSpec specOfEndedJob(TaskId task) {
    return specsOfEndedJobs.get(task);
  }

  /** Returns whether the possible tasks may include a task of the job with one of the indexes. */
  boolean includeAny(Job job, BitSet indexes) {
    String id = job.id();
    return tasks == null
        || tasks.stream().anyMatch(task -> task.job().equals(id) && indexes.get(task.index()));
  }

  /** Handles the end of a job: its tasks may still run on the machine, except the finished ones. */
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
