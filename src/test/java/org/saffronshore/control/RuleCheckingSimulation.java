package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/** Three whole controllers with users, and the protocol's rules checked at every step. */
abstract class RuleCheckingSimulation extends ClusterSimulation {
  static final double CANCEL_S = 40;

  /** Red's limit. Four tasks of four CPUs. */
  static final double LIMIT_CPUS = 16;

  static final double TASK_CPUS = 4;

  /**
   * What users were told of a job, the last of it, and when they were told that it is cancelled.
   */
  static final class UserView {
    final JobSpec job;
    boolean accepted;
    boolean cancelAsked;
    String end;
    double cancelledAt = Double.POSITIVE_INFINITY;

    UserView(JobSpec job) {
      this.job = job;
    }
  }

  final Map<String, UserView> jobs = new LinkedHashMap<>();

  /** The rules are looked after once in this time. */
  static final double STEP_S = 0.25;

  int lastJob;
  double outageSince = Double.NaN;

  ObjectNode settings() {
    ObjectNode json = TestData.settingsJson();
    json.withObject("/cluster/teams/0").put("cpus", 8).put("cpus_max", LIMIT_CPUS);
    return json;
  }

  ControllerProcess life(String name) {
    try {
      return new ControllerProcess(name, true, settings());
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  @BeforeEach
  void start() {
    maxMachines = 6;
    List.of("n-0", "n-1", "n-2").forEach(this::life);
    pass(10);
  }

  @Override
  void started(FakeWorker worker, String task) {
    for (FakeWorker other : workers.values()) {
      assertFalse(
          other != worker && other.holds().contains(task),
          () -> task + " starts on " + worker.id + " and is on " + other.id);
    }
    JobSpec job = jobs.get(jobOf(task)).job;
    for (String needed : job.dependencies()) {
      assertEquals(
          "done",
          state.value("f/" + needed) == null
              ? "open"
              : state.value("f/" + needed).path("State").asText(),
          () -> task + " starts too early: " + needed + " is not done");
    }
    double cpus =
        workers.values().stream()
                .flatMap(w -> w.holds().stream())
                .filter(t -> jobs.get(jobOf(t)).job.team().equals(job.team()))
                .count()
            * TASK_CPUS;
    assertTrue(
        !job.team().equals("red") || cpus <= LIMIT_CPUS,
        () -> job.team() + " uses " + cpus + " CPUs");
    if (job.singleZone()) {
      Set<String> zones = new TreeSet<>();
      workers.values().stream()
          .filter(w -> w.holds().stream().anyMatch(t -> jobOf(t).equals(job.id())))
          .forEach(w -> zones.add(w.report.get("Depot").asText()));
      assertEquals(1, zones.size(), () -> job.id() + " is in " + zones);
    }
  }

  static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  void checkCancelled() {
    for (FakeWorker w : workers.values()) {
      for (String task : w.holds()) {
        UserView told = jobs.get(jobOf(task));
        // A machine that hangs runs nothing.
        assertTrue(
            loop.now() < told.cancelledAt + CANCEL_S || loop.now() < w.hangsUntil,
            () ->
                task
                    + " is on "
                    + w.id
                    + " "
                    + (loop.now() - told.cancelledAt)
                    + " s after its user was told it is cancelled");
      }
    }
  }

  /** Lets time pass, and looks after the rules. */
  void pass(double seconds) {
    double until = loop.now() + seconds;
    while (loop.now() < until - 1e-9) {
      loop.pass(Math.min(STEP_S, until - loop.now()));
      checkCancelled();
      long isActive =
          processes.values().stream()
              .filter(p -> !p.dead && p.node.leadership().isActive())
              .count();
      assertTrue(isActive <= 1, isActive + " act");
    }
  }

  void heard(UserView told, int code, JsonNode answer) {
    String status = answer.path("Status").asText("");
    assertTrue(
        code != 404 || !told.accepted, () -> told.job.id() + " was accepted, and is forgotten");
    if (code != 200 && code != 201) {
      return;
    }
    told.accepted = true;
    boolean over = status.equals("done") || status.equals("aborted");
    assertTrue(
        told.end == null || told.end.equals(status),
        () -> told.job.id() + " was " + told.end + ", is " + status);
    if (over) {
      told.end = status;
    }
    double cancelledAt = cancelledAt(told.job.id());
    assertTrue(
        over || loop.now() < cancelledAt + CANCEL_S,
        () ->
            told.job.id()
                + " is called "
                + status
                + " "
                + (loop.now() - cancelledAt)
                + " s after a job that it needs was cancelled");
    if (status.equals("aborted")) {
      assertTrue(
          cancelAsked(told.job.id()),
          () -> told.job.id() + " is cancelled, and nobody asked for it");
      told.cancelledAt = Math.min(told.cancelledAt, loop.now());
    }
    if (status.equals("done")) {
      for (int i = 0; i < told.job.tasks(); i++) {
        assertTrue(
            completed.contains(told.job.id() + "/" + i), () -> told.job.id() + " is not done");
      }
    }
  }

  /** Whether a user asked to cancel the job, or one that it needs. */
  boolean cancelAsked(String id) {
    UserView told = jobs.get(id);
    return told.cancelAsked || told.job.dependencies().stream().anyMatch(this::cancelAsked);
  }

  /** When a user was told first that the job, or one that it needs, is cancelled. */
  double cancelledAt(String id) {
    UserView told = jobs.get(id);
    double at = told.cancelledAt;
    for (String needed : told.job.dependencies()) {
      at = Math.min(at, cancelledAt(needed));
    }
    return at;
  }

  /** A user's request; the answer counts if it comes within the two seconds that the user waits. */
  void user(ControllerProcess node, UserView told, String method, String path, JsonNode body) {
    double sentAt = loop.now();
    if (!node.dead) {
      node.node.handle(
          new Request(method, path, body == null ? new byte[0] : Json.bytes(body)),
          (code, type, bytes, r) -> {
            if (!node.dead && loop.now() < sentAt + 2) {
              heard(told, code, Json.parse(bytes));
            }
          });
    }
  }

  UserView submit(ControllerProcess node, JobSpec job) {
    UserView told = jobs.computeIfAbsent(job.id(), id -> new UserView(job));
    user(node, told, "POST", "/work", job.toJson());
    return told;
  }

  void poll(ControllerProcess node, UserView told) {
    user(node, told, "GET", "/work/" + told.job.id(), null);
  }

  void cancel(ControllerProcess node, UserView told) {
    told.cancelAsked = true;
    user(node, told, "POST", "/work/" + told.job.id() + "/cancel", null);
  }

  JobSpec job(int tasks) {
    return TestData.job("wk-" + ++lastJob, "red", Priority.STANDARD, tasks, TASK_CPUS);
  }

  static JobSpec inOneZone(JobSpec j) {
    return JobBuilder.copyOf(j).zoneConstraints(true, false).build();
  }

  ControllerProcess leader() {
    return processes.values().stream()
        .filter(p -> !p.dead && p.node.leadership().isLeading())
        .findFirst()
        .orElse(null);
  }

  ControllerProcess follower() {
    return processes.values().stream()
        .filter(p -> !p.dead && !p.node.leadership().isLeading())
        .findFirst()
        .get();
  }

  long onMachines(UserView told) {
    return workers.values().stream()
        .flatMap(w -> w.holds().stream())
        .filter(t -> jobOf(t).equals(told.job.id()))
        .count();
  }

  void away(boolean now, double forS) {
    state.away = now ? (method, path) -> true : (method, path) -> false;
    if (!now) {
      state.outlive(forS);
    }
  }

  /** The longest wait: a bad moment, a lease, and what the team's limit lets through at a time. */
  void everyJobEnds() {
    for (int i = 0;
        i < 60 && jobs.values().stream().anyMatch(t -> t.accepted && t.end == null);
        i++) {
      jobs.values().stream()
          .filter(t -> t.accepted && t.end == null)
          .forEach(t -> poll(processes.get("n-0"), t));
      pass(5);
    }
    List<String> open = new ArrayList<>();
    jobs.values().stream()
        .filter(t -> t.accepted && t.end == null)
        .forEach(t -> open.add(t.job.id()));
    assertTrue(open.isEmpty(), () -> "not over: " + open);
  }

  void heal() {
    lateWrites = 0;
    lateCommands = 0;
    lateReports = 0;
    away(false, Double.isNaN(outageSince) ? 0 : loop.now() - outageSince);
    outageSince = Double.NaN;
    zoneApart = null;
    for (String name : List.of("n-0", "n-1", "n-2")) {
      ControllerProcess p = processes.get(name);
      if (p.dead) {
        p = life(name);
      }
      p.refused = false;
      p.withoutPeers = false;
      p.withoutWorkers = false;
    }
    workers
        .values()
        .forEach(
            w -> {
              w.unresponsive = false;
              w.mute = false;
            });
  }

  ControllerProcess anyNode() {
    return List.copyOf(processes.values()).get(chance.nextInt(processes.size()));
  }
}
