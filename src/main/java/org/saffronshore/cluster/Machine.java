package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Address;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.scheduling.MachineView;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.TaskId;

/** A rented machine as the leader knows it. */
public final class Machine {
  final String id;
  private final double silentAfterS;
  String type;
  String zone;
  boolean spot;
  Address address;

  /** Whether its worker has reported to this leader. */
  boolean up;

  /**
   * Whether its worker has shown that it knows this leader's token, which shuts earlier leaders
   * out.
   */
  boolean reconciled;

  long epoch;
  long sequence = -1;

  /** The same of the newest report that the worker sent by itself. */
  long heartbeatEpoch;

  long heartbeatSequence = -1;

  /** Sessions up to this one are over: what they still say is ignored. */
  long lastExpiredEpoch = -1;

  /** The last moment at which the worker may have been told that its lease is renewed. */
  double leaseRenewedAt;

  /** The same before the report that is being taken. */
  double previousLeaseRenewalAt = Double.NEGATIVE_INFINITY;

  double firstLeaseRenewalAt = Double.NaN;
  double lastHeardAt = Double.NEGATIVE_INFINITY;

  /**
   * From when its silence counts: its last own report, its first answer, or when this node could
   * hear again after a standstill.
   */
  double lastHeartbeatAt = Double.NEGATIVE_INFINITY;

  /** Its reports come, but nothing that it is told seems to arrive. */
  boolean unresponsive;

  double unresponsiveSince;

  /** When the machine was first known to exist. */
  double existsSince;

  double rentedAt;
  double upAt = Double.NaN;
  double idleSince;
  double preemptionAt = Double.NaN;
  boolean failed;
  boolean returning;

  /** Its tasks are moved elsewhere, so that it can be returned. */
  boolean draining;

  boolean registered;

  /** The registry says, or is to say, what it holds: it gets nothing new. */
  boolean cordoned;

  /** All that an earlier leader can have left on it, or null when that may be anything. */
  Set<TaskId> possibleTasks;

  /** What those among them take whose jobs were called off in this term. */
  final Map<TaskId, JobSpec> possibleTasksOfEndedJobs = new HashMap<>();

  boolean registryWriteInFlight;
  int consecutiveFailures;
  double backoffUntil = Double.NEGATIVE_INFINITY;
  boolean commandInFlight;
  int failedCommands;
  double nextCommandAt = Double.NEGATIVE_INFINITY;
  final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();

  /** Attempts that are over but still in the worker's reports. */
  final Map<TaskId, Attempt> exited = new LinkedHashMap<>();

  /** What the cycle sees of it; null when something that it shows has changed. */
  MachineView cachedView;

  /** The tasks of the last report, as long as nothing else has happened to them since. */
  List<Heartbeat.TaskStatus> lastAppliedTasks;

  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * @param silentAfterS after this time without a report it gets no more work
   */
  Machine(String id, double silentAfterS, double now) {
    this.id = id;
    this.silentAfterS = silentAfterS;
    this.existsSince = now;
    this.rentedAt = now;
    this.idleSince = now;
  }

  public String id() {
    return id;
  }

  public MachineKind kind() {
    return new MachineKind(type, zone, spot);
  }

  public String type() {
    return type;
  }

  public String zone() {
    return zone;
  }

  public boolean isSpot() {
    return spot;
  }

  public Address address() {
    return address;
  }

  public boolean isUp() {
    return up;
  }

  public boolean isReconciled() {
    return reconciled;
  }

  public boolean isReturning() {
    return returning;
  }

  public boolean isDraining() {
    return draining;
  }

  public int taskCount() {
    return attempts.size();
  }

  public double usedCpus() {
    return attempts.values().stream().mapToDouble(a -> a.job == null ? 0 : a.job.cpus()).sum();
  }

  public boolean hasFailed() {
    return failed;
  }

  /** Whether it failed too many tasks in a row to be given more. */
  public boolean isQuarantined() {
    return consecutiveFailures >= Cluster.MAX_CONSECUTIVE_FAILURES;
  }

  public boolean wasEverUp() {
    return !Double.isNaN(upAt);
  }

  public double rentedAt() {
    return rentedAt;
  }

  public double idleSince() {
    return idleSince;
  }

  public boolean hasPreemptionNotice() {
    return !Double.isNaN(preemptionAt);
  }

  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Whether new tasks may be put here. */
  public boolean isSchedulable(double now) {
    return up
        && reconciled
        && registered
        && !returning
        && !draining
        && !failed
        && !hasPreemptionNotice()
        && !isQuarantined()
        && now >= backoffUntil
        && !isSilent(now)
        && !unresponsive
        && !hasUnknownTasks();
  }

  /** Whether the machine can be counted on for later: it works, stays, and is heard. */
  boolean isReliable(double now) {
    boolean leaving = failed || returning || hasPreemptionNotice();
    boolean faulty = isQuarantined() || unresponsive || (up && !reconciled && isSilent(now));
    return !leaving && !faulty;
  }

  /** Whether reports that were due have not come: it may hang, or be cut off. */
  boolean isSilent(double now) {
    return now > lastHeartbeatAt + silentAfterS;
  }

  private boolean hasUnknownTasks() {
    for (Attempt a : attempts.values()) {
      if (a.job == null) {
        return true;
      }
    }
    return false;
  }

  /** Whether a task may not be put here, since a trace of it is still on the machine. */
  boolean hasTraceOf(TaskId task) {
    return attempts.containsKey(task) || exited.containsKey(task);
  }

  Set<String> images() {
    return images.keySet();
  }

  void recordImageUse(String image, double gb, double cacheGb) {
    images.put(image, gb);
    double sum = 0;
    for (double size : images.values()) {
      sum += size;
    }
    var oldest = images.entrySet().iterator();
    while (sum > cacheGb && oldest.hasNext()) {
      var entry = oldest.next();
      if (!entry.getKey().equals(image)) {
        sum -= entry.getValue();
        oldest.remove();
      }
    }
  }

  /** What was known of its tasks has changed other than by a report. */
  void invalidateView() {
    cachedView = null;
    lastAppliedTasks = null;
  }

  /** Whether an earlier leader can have left one of these tasks of a job here. */
  boolean mayHoldAny(Job job, BitSet tasks) {
    String id = job.spec.id();
    return possibleTasks == null
        || possibleTasks.stream().anyMatch(t -> t.job().equals(id) && tasks.get(t.index()));
  }

  /**
   * A job is over. What an earlier leader may have left of it here may still run, but for tasks
   * that are done.
   */
  void jobEnded(Job job) {
    if (possibleTasks == null) {
      return;
    }
    String id = job.spec.id();
    possibleTasks.removeIf(task -> task.job().equals(id) && job.finishedTasks.get(task.index()));
    for (TaskId task : possibleTasks) {
      if (task.job().equals(id)) {
        possibleTasksOfEndedJobs.put(task, job.spec);
      }
    }
  }

  List<Attempt> allAttempts() {
    return new ArrayList<>(attempts.values());
  }
}
