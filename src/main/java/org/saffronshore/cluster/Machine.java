package org.saffronshore.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.saffronshore.config.Settings.Address;
import org.saffronshore.fleet.MachineKind;
import org.saffronshore.scheduling.Host;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Report;
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
  boolean confirmed;

  long session;
  long seq = -1;

  /** The same of the newest report that the worker sent by itself. */
  long reportSession;

  long reportSeq = -1;

  /** Sessions up to this one are over: what they still say is ignored. */
  long deadSession = -1;

  /** The last moment at which the worker may have been told that its lease is renewed. */
  double answeredAt;

  /** The same before the report that is being taken. */
  double answeredBefore = Double.NEGATIVE_INFINITY;

  double firstAnsweredAt = Double.NaN;
  double heardAt = Double.NEGATIVE_INFINITY;

  /**
   * From when its silence counts: its last own report, its first answer, or when this node could
   * hear again after a standstill.
   */
  double ownReportAt = Double.NEGATIVE_INFINITY;

  /** Its reports come, but nothing that it is told seems to arrive. */
  boolean unresponsive;

  double unresponsiveSince;

  /** When the machine was first known to exist. */
  double knownSince;

  double rentedAt;
  double upAt = Double.NaN;
  double idleSince;
  double noticeUntil = Double.NaN;
  boolean failed;
  boolean returning;

  /** Its tasks are moved elsewhere, so that it can be returned. */
  boolean draining;

  boolean registered;

  /** The registry says, or is to say, what it holds: it gets nothing new. */
  boolean frozen;

  /** All that an earlier leader can have left on it, or null when that may be anything. */
  Set<TaskId> held;

  /** What those among them take whose jobs were called off in this term. */
  final Map<TaskId, JobSpec> heldOfEnded = new HashMap<>();

  boolean registryWriteInFlight;
  int consecutiveFailures;
  double suspendedUntil = Double.NEGATIVE_INFINITY;
  boolean commandInFlight;
  int failedCommands;
  double nextCommandAt = Double.NEGATIVE_INFINITY;
  final Map<TaskId, Attempt> attempts = new LinkedHashMap<>();

  /** Attempts that are over but still in the worker's reports. */
  final Map<TaskId, Attempt> exited = new LinkedHashMap<>();

  /** What the cycle sees of it; null when something that it shows has changed. */
  Host host;

  /** The tasks of the last report, as long as nothing else has happened to them since. */
  List<Report.Task> applied;

  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * @param silentAfterS after this time without a report it gets no more work
   */
  Machine(String id, double silentAfterS, double now) {
    this.id = id;
    this.silentAfterS = silentAfterS;
    this.knownSince = now;
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

  public boolean spot() {
    return spot;
  }

  public Address address() {
    return address;
  }

  public boolean up() {
    return up;
  }

  public boolean confirmed() {
    return confirmed;
  }

  public boolean returning() {
    return returning;
  }

  public boolean draining() {
    return draining;
  }

  public int count() {
    return attempts.size();
  }

  public double usedCpus() {
    return attempts.values().stream().mapToDouble(a -> a.job == null ? 0 : a.job.cpus()).sum();
  }

  public boolean failed() {
    return failed;
  }

  /** Whether it failed too many tasks in a row to be given more. */
  public boolean distrusted() {
    return consecutiveFailures >= Cluster.MAX_CONSECUTIVE_FAILURES;
  }

  public boolean everUp() {
    return !Double.isNaN(upAt);
  }

  public double rentedAt() {
    return rentedAt;
  }

  public double idleSince() {
    return idleSince;
  }

  public boolean noticed() {
    return !Double.isNaN(noticeUntil);
  }

  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  public boolean empty() {
    return attempts.isEmpty();
  }

  /** Whether new tasks may be put here. */
  public boolean usable(double now) {
    return up
        && confirmed
        && registered
        && !returning
        && !draining
        && !failed
        && !noticed()
        && !distrusted()
        && now >= suspendedUntil
        && !silent(now)
        && !unresponsive
        && !unknownLoad();
  }

  /** Whether the machine can be counted on for later: it works, stays, and is heard. */
  boolean reliable(double now) {
    boolean leaving = failed || returning || noticed();
    boolean faulty = distrusted() || unresponsive || up && !confirmed && silent(now);
    return !leaving && !faulty;
  }

  /** Whether reports that were due have not come: it may hang, or be cut off. */
  boolean silent(double now) {
    return now > ownReportAt + silentAfterS;
  }

  private boolean unknownLoad() {
    for (Attempt a : attempts.values()) {
      if (a.job == null) {
        return true;
      }
    }
    return false;
  }

  /** Whether a task may not be put here, since a trace of it is still on the machine. */
  boolean barred(TaskId task) {
    return attempts.containsKey(task) || exited.containsKey(task);
  }

  Set<String> images() {
    return images.keySet();
  }

  void usesImage(String image, double gb, double cacheGb) {
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
  void changed() {
    host = null;
    applied = null;
  }

  /** Whether an earlier leader can have left one of these tasks of a job here. */
  boolean mayHold(Job job, BitSet tasks) {
    String id = job.spec.id();
    return held == null || held.stream().anyMatch(t -> t.job().equals(id) && tasks.get(t.index()));
  }

  /**
   * A job is over. What an earlier leader may have left of it here may still run, but for tasks
   * that are done.
   */
  void jobEnded(Job job) {
    if (held == null) {
      return;
    }
    String id = job.spec.id();
    held.removeIf(task -> task.job().equals(id) && job.done.get(task.index()));
    for (TaskId task : held) {
      if (task.job().equals(id)) {
        heldOfEnded.put(task, job.spec);
      }
    }
  }

  List<Attempt> allAttempts() {
    return new ArrayList<>(attempts.values());
  }
}
