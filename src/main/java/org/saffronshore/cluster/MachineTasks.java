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
 * The attempts that are, or may be, on one machine, and the exited attempts that its worker still
 * reports in its heartbeats. Attempts are added and removed through {@link Machine}.
 */
final class MachineTasks {
  private final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();
  private final Map<TaskId, Attempt> exited = new LinkedHashMap<>();

  /** Tasks of the last heartbeat; null if something else has changed the tasks since. */
  private @Nullable List<Heartbeat.TaskStatus> lastApplied;

  /** Moment since which there have been no attempts; infinity while there are some. */
  private double idleSince;

  MachineTasks(double now) {
    this.idleSince = now;
  }

  /** Returns a live view of the attempts. */
  Collection<Attempt> attempts() {
    return attempts.values();
  }

  /** Returns the attempts that occupy the machine: those that are not over. */
  List<Attempt> active() {
    return attempts.values().stream().filter(attempt -> !attempt.isOver()).toList();
  }

  /** Returns a copy of the attempts, for callers that end attempts while they iterate. */
  List<Attempt> attemptsCopy() {
    return new ArrayList<>(attempts.values());
  }

  /** Returns a live view of the tasks of the attempts. */
  Set<TaskId> taskIds() {
    return attempts.keySet();
  }

  @Nullable Attempt attemptAt(TaskId task) {
    return attempts.get(task);
  }

  /** Returns whether there is an attempt whose job, and so its size, is not known. */
  boolean hasTaskOfUnknownSize() {
    for (Attempt attempt : attempts.values()) {
      if (attempt.job() == null) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the machine has an attempt at the task, or an exited one that its worker still
   * reports, so that the task may not be placed on it.
   */
  boolean hasRecordOf(TaskId task) {
    return attempts.containsKey(task) || exited.containsKey(task);
  }

  void place(Attempt attempt) {
    attempts.put(attempt.task(), attempt);
    idleSince = Double.POSITIVE_INFINITY;
  }

  /** Adds an attempt that the worker reports; returns the attempt that it replaces, or null. */
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

  /** Returns a live view of the exited attempts that the worker still reports. */
  Collection<Attempt> exited() {
    return exited.values();
  }

  @Nullable Attempt exitedAt(TaskId task) {
    return exited.get(task);
  }

  void addExited(Attempt attempt) {
    exited.put(attempt.task(), attempt);
  }

  void removeExited(Attempt attempt) {
    exited.remove(attempt.task(), attempt);
  }

  void clearExited() {
    exited.clear();
  }

  // Idle time

  /** Returns the moment since which there have been no attempts; infinity while there are some. */
  double idleSince() {
    return idleSince;
  }

  void setIdleSince(double moment) {
    idleSince = moment;
  }

  void updateIdleSince(double now) {
    if (attempts.isEmpty() != Double.isFinite(idleSince)) {
      idleSince = attempts.isEmpty() ? now : Double.POSITIVE_INFINITY;
    }
  }

  // Heartbeats

  /**
   * Returns whether these statuses were the last ones applied, and nothing else has changed the
   * tasks since.
   */
  boolean isUpToDateWith(List<Heartbeat.TaskStatus> statuses) {
    return statuses.equals(lastApplied);
  }

  void recordApplied(List<Heartbeat.TaskStatus> statuses) {
    lastApplied = statuses;
  }

  /**
   * Handles a change of the tasks that does not come from a heartbeat: the next heartbeat is
   * applied even if it equals the last one.
   */
  void clearLastApplied() {
    lastApplied = null;
  }
}
