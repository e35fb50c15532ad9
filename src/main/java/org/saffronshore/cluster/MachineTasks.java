package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.TaskId;

/**
 * What is, or may be, on one machine: its attempts, and those that are over but still in the
 * worker's heartbeats. Attempts are added and removed through {@link Machine}.
 */
final class MachineTasks {
  private final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();
  private final Map<TaskId, Attempt> exited = new LinkedHashMap<>();

  /** The tasks of the last heartbeat, as long as nothing else has happened to them since. */
  private @Nullable List<Heartbeat.TaskStatus> lastApplied;

  /** Infinity while there are attempts. */
  private double idleSince;

  MachineTasks(double now) {
    this.idleSince = now;
  }

  /** A live view. */
  Collection<Attempt> attempts() {
    return attempts.values();
  }

  /** A copy, for callers that end attempts on the way. */
  List<Attempt> attemptsCopy() {
    return new ArrayList<>(attempts.values());
  }

  /** The tasks of the attempts; a live view. */
  Set<TaskId> ids() {
    return attempts.keySet();
  }

  @Nullable Attempt attemptAt(TaskId task) {
    return attempts.get(task);
  }

  /** Whether the size of one of the tasks is not known. */
  boolean hasUnknown() {
    for (Attempt attempt : attempts.values()) {
      if (attempt.job() == null) {
        return true;
      }
    }
    return false;
  }

  /** Whether a task may not be placed here, since a trace of it is still on the machine. */
  boolean hasRecordOf(TaskId task) {
    return attempts.containsKey(task) || exited.containsKey(task);
  }

  void place(Attempt attempt) {
    attempts.put(attempt.task(), attempt);
    idleSince = Double.POSITIVE_INFINITY;
  }

  /** Adds an attempt; the one that it replaces, or null. */
  @Nullable Attempt adopt(Attempt attempt) {
    return attempts.put(attempt.task(), attempt);
  }

  void remove(Attempt attempt, double now) {
    attempts.remove(attempt.task(), attempt);
    if (attempts.isEmpty() && !Double.isFinite(idleSince)) {
      idleSince = now;
    }
  }

  // Exited attempts

  /** Attempts that are over but still in the worker's heartbeats; a live view. */
  Collection<Attempt> exited() {
    return exited.values();
  }

  @Nullable Attempt exitedAt(TaskId task) {
    return exited.get(task);
  }

  void addExited(Attempt attempt) {
    exited.put(attempt.task(), attempt);
  }

  void clearExited() {
    exited.clear();
  }

  // Idle time

  /** Since when there have been no attempts; infinity while there are some. */
  double idleSince() {
    return idleSince;
  }

  void countIdleFrom(double moment) {
    idleSince = moment;
  }

  void updateIdleSince(double now) {
    if (attempts.isEmpty() != Double.isFinite(idleSince)) {
      idleSince = attempts.isEmpty() ? now : Double.POSITIVE_INFINITY;
    }
  }

  // Heartbeats

  /** Whether these were applied last, and nothing else has happened to the tasks since. */
  boolean isUpToDateWith(List<Heartbeat.TaskStatus> statuses) {
    return statuses.equals(lastApplied);
  }

  void applied(List<Heartbeat.TaskStatus> statuses) {
    lastApplied = statuses;
  }

  /** Something else than a heartbeat has changed the tasks: the next one is applied anyway. */
  void forgetApplied() {
    lastApplied = null;
  }
}
