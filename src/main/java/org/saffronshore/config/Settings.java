package org.saffronshore.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The validated contents of the platform's settings file. Unknown fields of the file are ignored.
 * Durations are in seconds, and rates in events per second.
 *
 * @param node the name of this controller
 * @param zone the zone of this controller; null if the settings file has none
 * @param listenAddress the address at which this controller serves users and workers
 * @param peerListenAddress the address at which this controller serves other controllers and
 *     operators
 * @param peers the other controllers of the deployment
 * @param zones the zones in which machines can be rented
 * @param teams the quotas by team name, in the order of the file
 * @param heartbeatIntervalS the interval between two heartbeats of a worker
 * @param workerLeaseS the time for which a worker keeps its tasks without a response to its
 *     heartbeats
 * @param cancellationDeadlineS the time within which all tasks of a cancelled job must end
 * @param stateRequestsPerS the rate of requests that the state service accepts from all controllers
 *     together
 * @param stateWritesPerS the rate of writes that the state service accepts from all controllers
 *     together
 * @param nextStateRequestsPerS the rate of requests that the state service will accept after a
 *     change that happens without notice; equal to the current rate if the file has none
 * @param nextStateWritesPerS the rate of writes after the same change; equal to the current rate if
 *     the file has none
 * @param maxValueKb the size limit of a stored value in KB: the smaller of the limits before and
 *     after the change
 * @param maxTransactionWrites the maximum number of writes in a transaction: the smaller of the
 *     limits before and after the change
 * @param cloudRequestsPerS the rate of requests that the cloud accepts
 * @param cloudListLagS the longest time by which the cloud's list of machines may be out of date
 * @param cpuShare the share of a core that this process may use
 * @param memoryMb the memory that this process may use, in MB
 * @param maxSockets the maximum number of sockets that this process may have open
 * @param maxClockOffsetS the largest difference between the wall clocks of two controllers;
 *     practically unbounded if the file has no bound
 */
public record Settings(
    String node,
    @Nullable String zone,
    Address listenAddress,
    Address peerListenAddress,
    List<Peer> peers,
    Address cloudAddress,
    Address stateServiceAddress,
    List<String> zones,
    Map<String, TeamQuota> teams,
    List<Objective> objectives,
    double heartbeatIntervalS,
    double workerLeaseS,
    double cancellationDeadlineS,
    double stateRequestsPerS,
    double stateWritesPerS,
    double nextStateRequestsPerS,
    double nextStateWritesPerS,
    double maxValueKb,
    int maxTransactionWrites,
    double cloudRequestsPerS,
    double cloudListLagS,
    double cpuShare,
    double memoryMb,
    int maxSockets,
    double maxClockOffsetS) {

  /**
   * The maximum rate at which the monotonic clocks of two machines drift apart, as a share of the
   * elapsed time.
   */
  public static final double MAX_CLOCK_DRIFT = 0.0005;

  /** The largest value of a numeric field of the settings file. */
  static final double MAX_NUMBER = 1e9;

  private static final int MAX_TRANSACTION_WRITES = 1_000_000;
  private static final double DEFAULT_MEMORY_MB = 256;
  private static final double DEFAULT_MAX_SOCKETS = 1024;
  private static final double MS_PER_S = 1000;

  /** Returns the number of controllers in this deployment, including this one. */
  public int controllerCount() {
    return peers.size() + 1;
  }

  /**
   * Returns the longest time, in seconds on this machine's clock, that may pass while another
   * machine's clock measures the given duration.
   */
  public static double maxLocalDuration(double seconds) {
    return seconds * (1 + 2 * MAX_CLOCK_DRIFT);
  }

  /**
   * Returns the shortest time, in seconds on this machine's clock, that may pass while another
   * machine's clock measures the given duration.
   */
  public static double minLocalDuration(double seconds) {
    return seconds * (1 - 2 * MAX_CLOCK_DRIFT);
  }

  /**
   * Parses the platform's settings file.
   *
   * @throws InvalidFieldException if the file is not exactly one JSON value, or if a field is
   *     invalid; it names the first invalid field
   */
  public static Settings parse(byte[] file) throws InvalidFieldException {
    JsonNode root = Json.parse(file);
    if (root == null) {
      throw new InvalidFieldException("settings", "must be exactly one JSON value");
    }
    return parse(root);
  }

  /**
   * Reads the settings from the JSON tree of the file.
   *
   * @throws InvalidFieldException if a field is invalid; it names the first invalid field
   */
  public static Settings parse(JsonNode root) throws InvalidFieldException {
    FieldReader file = FieldReader.of(root, "");
    FieldReader services = file.object("services");
    FieldReader cluster = file.object("cluster");
    FieldReader workers = cluster.object("workers");
    FieldReader state = cluster.object("state");
    FieldReader next =
        state.has("next")
            ? state.object("next")
            : new FieldReader(Json.object(), "cluster.state.next");
    double requestsPerS = state.number("rps", 1, MAX_NUMBER);
    double writesPerS = state.number("write_rps", 1, MAX_NUMBER);
    double valueKb = state.number("value_kb", 1, MAX_NUMBER);
    int transactionWrites = (int) state.integer("txn_ops", 2, MAX_TRANSACTION_WRITES);
    FieldReader cloud = cluster.object("cloud");
    FieldReader limits = cluster.object("limits");
    List<String> zones = cluster.textsOrNull("zones");
    return new Settings(
        file.text("node"),
        file.textOrNull("area"),
        Address.parse("serve_on", file.text("serve_on")),
        Address.parse("peer_bind", file.text("peer_bind")),
        Peer.parseAll(file.objects("peers")),
        Address.parse("services.cloud", services.text("cloud")),
        Address.parse("services.state", services.text("state")),
        zones == null ? List.of() : zones,
        TeamQuota.parseAll(cluster.objects("teams")),
        cluster.has("objectives") ? Objective.parseAll(cluster.objects("objectives")) : List.of(),
        workers.number("report_s", 0.01, MAX_NUMBER),
        workers.number("lease_s", 0.1, MAX_NUMBER),
        workers.number("cancel_s", 0.1, MAX_NUMBER),
        requestsPerS,
        writesPerS,
        next.number("rps", 1, MAX_NUMBER, requestsPerS),
        next.number("write_rps", 1, MAX_NUMBER, writesPerS),
        Math.min(valueKb, next.number("value_kb", 1, MAX_NUMBER, valueKb)),
        next.has("txn_ops")
            ? Math.min(transactionWrites, (int) next.integer("txn_ops", 2, MAX_TRANSACTION_WRITES))
            : transactionWrites,
        cloud.number("rps", 0.01, MAX_NUMBER),
        cloud.number("list_lag_s", 0, MAX_NUMBER),
        limits.number("core_share", 0.001, MAX_NUMBER, 1),
        limits.number("memory_mb", 1, MAX_NUMBER, DEFAULT_MEMORY_MB),
        (int) limits.number("sockets", 16, MAX_NUMBER, DEFAULT_MAX_SOCKETS),
        cluster.number("clock_off_ms", 0, MAX_NUMBER, MAX_NUMBER) / MS_PER_S);
  }
}
