package org.saffronshore.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The platform's settings file, checked. Fields that are not known here are ignored.
 *
 * @param nextStateRequestsPerS what the state service will take from some moment on, without
 *     notice; as now if nothing is said
 * @param maxValueKb how long a value may be, now and later
 * @param maxTransactionWrites how many changes a transaction may have, now and later
 */
public record Settings(
    String node,
    String zone,
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

  /** The steady clocks of two machines may run apart by this share of the time that passes. */
  public static final double MAX_CLOCK_DRIFT = 0.0005;

  private static final double MAX = 1e9;
  private static final int MAX_TXN_OPS = 1_000_000;

  /** A TCP address. */
  public record Address(String host, int port) {
    /** Reads an address of the form host:port. */
    public static Address parse(String field, String text) throws InvalidFieldException {
      int colon = text.lastIndexOf(':');
      try {
        if (colon > 0) {
          int port = Integer.parseInt(text.substring(colon + 1));
          if (port >= 0 && port < 65536) {
            return new Address(text.substring(0, colon), port);
          }
        }
      } catch (NumberFormatException e) {
        // Falls through to the one message for every ill-formed address.
      }
      throw new InvalidFieldException(field, "must be an address such as 10.0.0.1:8080");
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller of the deployment. */
  public record Peer(String node, String zone, Address address) {}

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record TeamQuota(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /** An aim of the users; {@code jobClass} is null where it concerns every class. */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  /** Controllers of this deployment, this one included. */
  public int controllerCount() {
    return peers.size() + 1;
  }

  /**
   * The longest that a time of ours, measured on another machine's clock, can last on this one's.
   */
  public static double maxLocalDuration(double seconds) {
    return seconds * (1 + 2 * MAX_CLOCK_DRIFT);
  }

  /**
   * The shortest that a time of ours, measured on another machine's clock, can last on this one's.
   */
  public static double minLocalDuration(double seconds) {
    return seconds * (1 - 2 * MAX_CLOCK_DRIFT);
  }

  /** Reads the platform's settings file; a failure names the field. */
  public static Settings parse(JsonNode root) throws InvalidFieldException {
    FieldReader f = FieldReader.of(root, "");
    FieldReader services = f.object("services");
    FieldReader cluster = f.object("cluster");
    FieldReader workers = cluster.object("workers");
    FieldReader state = cluster.object("state");
    FieldReader next =
        state.has("next")
            ? state.object("next")
            : new FieldReader(Json.object(), "cluster.state.next");
    double rps = state.number("rps", 1, MAX);
    double writeRps = state.number("write_rps", 1, MAX);
    double valueKb = state.number("value_kb", 1, MAX);
    int txnOps = (int) state.count("txn_ops", 2, MAX_TXN_OPS);
    FieldReader cloud = cluster.object("cloud");
    FieldReader limits = cluster.object("limits");
    List<String> zones = cluster.textsOrNull("zones");
    return new Settings(
        f.text("node"),
        f.textOrNull("area"),
        Address.parse("serve_on", f.text("serve_on")),
        Address.parse("peer_bind", f.text("peer_bind")),
        peers(f),
        Address.parse("services.cloud", services.text("cloud")),
        Address.parse("services.state", services.text("state")),
        zones == null ? List.of() : zones,
        teams(cluster),
        objectives(cluster),
        workers.number("report_s", 0.01, MAX),
        workers.number("lease_s", 0.1, MAX),
        workers.number("cancel_s", 0.1, MAX),
        rps,
        writeRps,
        next.number("rps", 1, MAX, rps),
        next.number("write_rps", 1, MAX, writeRps),
        Math.min(valueKb, next.number("value_kb", 1, MAX, valueKb)),
        next.has("txn_ops")
            ? Math.min(txnOps, (int) next.count("txn_ops", 2, MAX_TXN_OPS))
            : txnOps,
        cloud.number("rps", 0.01, MAX),
        cloud.number("list_lag_s", 0, MAX),
        limits.number("core_share", 0.001, MAX, 1),
        limits.number("memory_mb", 1, MAX, 256),
        (int) limits.number("sockets", 16, MAX, 1024),
        cluster.number("clock_off_ms", 0, MAX, MAX) / 1000);
  }

  private static List<Peer> peers(FieldReader root) throws InvalidFieldException {
    List<Peer> peers = new ArrayList<>();
    for (FieldReader p : root.objects("peers")) {
      Address address = Address.parse(p.path() + ".addr", p.text("addr"));
      peers.add(new Peer(p.text("node"), p.textOrNull("area"), address));
    }
    return List.copyOf(peers);
  }

  private static Map<String, TeamQuota> teams(FieldReader cluster) throws InvalidFieldException {
    Map<String, TeamQuota> teams = new LinkedHashMap<>();
    for (FieldReader t : cluster.objects("teams")) {
      TeamQuota team =
          new TeamQuota(
              t.text("name"),
              t.number("cpus", 0, MAX, 0),
              t.number("cpus_max", 0, MAX, 0),
              t.number("gpus", 0, MAX, 0),
              t.number("gpus_max", 0, MAX, 0));
      if (teams.put(team.name(), team) != null) {
        throw new InvalidFieldException(t.path() + ".name", "is there twice");
      }
    }
    return teams;
  }

  private static List<Objective> objectives(FieldReader cluster) throws InvalidFieldException {
    List<Objective> objectives = new ArrayList<>();
    if (cluster.has("objectives")) {
      for (FieldReader o : cluster.objects("objectives")) {
        objectives.add(
            new Objective(
                o.text("kind"),
                o.textOrNull("class"),
                o.number("share", 0, 1, 0),
                o.number("times", 0, MAX, 1),
                o.number("within_s", 0, MAX, 0)));
      }
    }
    return List.copyOf(objectives);
  }
}
