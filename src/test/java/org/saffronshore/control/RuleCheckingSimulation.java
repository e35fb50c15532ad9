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
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/** Three complete controllers with users. The rules of the protocol are checked at every step. */
abstract class RuleCheckingSimulation extends ClusterSimulation {
  static final double CANCEL_S = 40;

  /** The CPU quota of team red: four tasks of four CPUs. */
  static final double TEAM_LIMIT_CPUS = 16;

  static final double TASK_CPUS = 4;

  /** The CPUs of a machine of the simulated cloud. */
  static final double MACHINE_CPUS = 8;

  /** What users know about a job from the responses that they received. */
  static final class UserView {
    final JobSpec job;
    boolean accepted;
    boolean cancelRequested;

    /** The final status that a user received, or null if no user has received one. */
    String finalStatus;

    /** When a user first received the response that the job is cancelled; infinite if never. */
    double cancelledAt = Double.POSITIVE_INFINITY;

    UserView(JobSpec job) {
      this.job = job;
    }
  }

  final Map<String, UserView> jobs = new LinkedHashMap<>();

  /** The interval at which the rules are checked, in seconds. */
  static final double STEP_S = 0.25;

  int lastJobNumber;
  double outageStartedAt = Double.NaN;

  ObjectNode settings() {
    ObjectNode json = TestData.settingsJson();
    json.withObject("/cluster/teams/0").put("cpus", 8).put("cpus_max", TEAM_LIMIT_CPUS);
    return json;
  }

  ControllerProcess startController(String name) {
    try {
      return new ControllerProcess(name, true, settings());
    } catch (InvalidFieldException e) {
      throw new AssertionError(e);
    }
  }

  @BeforeEach
  void startControllers() {
    maxMachines = 6;
    List.of("n-0", "n-1", "n-2").forEach(this::startController);
    advanceAndCheckRules(10);
  }

  @Override
  void onTaskStarted(FakeWorker worker, String task) {
    for (FakeWorker other : workers.values()) {
      assertFalse(
          other != worker && other.activeTasks().contains(task),
          () -> task + " was started on " + worker.id + " and is still on " + other.id);
    }
    JobSpec job = jobs.get(jobOf(task)).job;
    for (String dependency : job.dependencies()) {
      assertEquals(
          "done",
          state.value("f/" + dependency) == null
              ? "open"
              : state.value("f/" + dependency).path("State").asText(),
          () -> task + " was started before its dependency " + dependency + " was done");
    }
    double cpus =
        workers.values().stream()
                .flatMap(holder -> holder.activeTasks().stream())
                .filter(held -> jobs.get(jobOf(held)).job.team().equals(job.team()))
                .count()
            * TASK_CPUS;
    assertTrue(
        !job.team().equals("red") || cpus <= TEAM_LIMIT_CPUS,
        () -> "team " + job.team() + " uses " + cpus + " CPUs, quota " + TEAM_LIMIT_CPUS);
    Map<String, Long> tasksPerZone = tasksPerZone(job);
    if (job.singleZone()) {
      assertEquals(
          1,
          tasksPerZone.size(),
          () -> job.id() + " must run in one zone and is in " + tasksPerZone);
    }
    if (job.spread()) {
      assertTrue(
          tasksPerZone.get(worker.heartbeat.get("Depot").asText()) <= job.spreadLimit(),
          () -> job.id() + " must be spread and is in " + tasksPerZone);
    }
  }

  /** Returns the number of tasks of a job that are on machines, by zone. */
  private Map<String, Long> tasksPerZone(JobSpec job) {
    return workers.values().stream()
        .flatMap(
            holder ->
                holder.activeTasks().stream()
                    .filter(held -> jobOf(held).equals(job.id()))
                    .map(held -> holder.heartbeat.get("Depot").asText()))
        .collect(Collectors.groupingBy(zone -> zone, TreeMap::new, Collectors.counting()));
  }

  static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  void checkCancelledTasksStopped() {
    for (FakeWorker worker : workers.values()) {
      for (String task : worker.activeTasks()) {
        UserView view = jobs.get(jobOf(task));
        // A hung machine runs nothing.
        assertTrue(
            loop.now() < view.cancelledAt + CANCEL_S || loop.now() < worker.hangsUntil,
            () ->
                task
                    + " is on "
                    + worker.id
                    + " "
                    + (loop.now() - view.cancelledAt)
                    + " s after its user received the status of a cancelled job");
      }
    }
  }

  /** Advances the clock and checks the rules at every step. */
  void advanceAndCheckRules(double seconds) {
    double until = loop.now() + seconds;
    while (loop.now() < until - 1e-9) {
      loop.advance(Math.min(STEP_S, until - loop.now()));
      checkCancelledTasksStopped();
      List<ControllerProcess> active =
          processes.values().stream()
              .filter(
                  candidate -> !candidate.crashed && candidate.controller.leadership().isActive())
              .toList();
      assertTrue(active.size() <= 1, active.size() + " controllers act as leader at the same time");
      active.forEach(lateHeartbeats::activeLeaderIs);
    }
  }

  void checkResponse(UserView view, int httpStatus, JsonNode response) {
    String status = response.path("Status").asText("");
    assertTrue(
        httpStatus != 404 || !view.accepted,
        () -> view.job.id() + " was accepted and is now unknown");
    if (httpStatus != 200 && httpStatus != 201) {
      return;
    }
    view.accepted = true;
    boolean hasEnded = status.equals("done") || status.equals("aborted");
    assertTrue(
        view.finalStatus == null || view.finalStatus.equals(status),
        () ->
            view.job.id() + " changed its final status from " + view.finalStatus + " to " + status);
    if (hasEnded) {
      view.finalStatus = status;
    }
    double cancelledAt = cancelledAt(view.job.id());
    assertTrue(
        hasEnded || loop.now() < cancelledAt + CANCEL_S,
        () ->
            view.job.id()
                + " has status "
                + status
                + " "
                + (loop.now() - cancelledAt)
                + " s after it or a dependency was cancelled");
    if (status.equals("aborted")) {
      assertTrue(
          cancelRequested(view.job.id()),
          () -> view.job.id() + " is cancelled although no user requested it");
      view.cancelledAt = Math.min(view.cancelledAt, loop.now());
    }
    if (status.equals("done")) {
      for (int i = 0; i < view.job.tasks(); i++) {
        assertTrue(
            completedTasks.contains(view.job.id() + "/" + i),
            () -> view.job.id() + " is reported as done with unfinished tasks");
      }
    }
  }

  /** Returns whether a user has requested the cancellation of the job or of a dependency. */
  boolean cancelRequested(String id) {
    UserView view = jobs.get(id);
    return view.cancelRequested || view.job.dependencies().stream().anyMatch(this::cancelRequested);
  }

  /** Returns when a user first learned that the job or a dependency is cancelled. */
  double cancelledAt(String id) {
    UserView view = jobs.get(id);
    double earliest = view.cancelledAt;
    for (String dependency : view.job.dependencies()) {
      earliest = Math.min(earliest, cancelledAt(dependency));
    }
    return earliest;
  }

  /**
   * Sends a user's request. The response is checked if it arrives within the user's time-out of two
   * seconds.
   */
  void sendUserRequest(
      ControllerProcess process, UserView view, String method, String path, JsonNode body) {
    double sentAt = loop.now();
    if (!process.crashed) {
      process.controller.handle(
          new Request(method, path, body == null ? new byte[0] : Json.bytes(body)),
          (httpStatus, type, bytes, retryAfterS) -> {
            if (!process.crashed && loop.now() < sentAt + 2) {
              checkResponse(view, httpStatus, Json.parse(bytes));
            }
          });
    }
  }

  UserView submit(ControllerProcess process, JobSpec job) {
    UserView view = jobs.computeIfAbsent(job.id(), id -> new UserView(job));
    sendUserRequest(process, view, "POST", "/work", job.toJson());
    return view;
  }

  void poll(ControllerProcess process, UserView view) {
    sendUserRequest(process, view, "GET", "/work/" + view.job.id(), null);
  }

  void cancel(ControllerProcess process, UserView view) {
    view.cancelRequested = true;
    sendUserRequest(process, view, "POST", "/work/" + view.job.id() + "/cancel", null);
  }

  JobSpec job(int tasks) {
    return TestData.job("wk-" + ++lastJobNumber, "red", Priority.STANDARD, tasks, TASK_CPUS);
  }

  /** A job of a team without a quota; each of its tasks needs a whole machine. */
  JobSpec jobOfWholeMachines(int tasks) {
    return TestData.job("wk-" + ++lastJobNumber, "free", Priority.STANDARD, tasks, MACHINE_CPUS);
  }

  static JobSpec inSingleZone(JobSpec job) {
    return JobBuilder.copyOf(job).zoneConstraints(true, false).build();
  }

  ControllerProcess leader() {
    return processes.values().stream()
        .filter(candidate -> !candidate.crashed && candidate.controller.leadership().isLeading())
        .findFirst()
        .orElse(null);
  }

  ControllerProcess follower() {
    return processes.values().stream()
        .filter(candidate -> !candidate.crashed && !candidate.controller.leadership().isLeading())
        .findFirst()
        .get();
  }

  /** Returns how many tasks of a job are on machines and have not ended. */
  long activeTaskCount(UserView view) {
    return workers.values().stream()
        .flatMap(holder -> holder.activeTasks().stream())
        .filter(task -> jobOf(task).equals(view.job.id()))
        .count();
  }

  /**
   * Begins or ends an outage of the state service.
   *
   * @param durationS how long the outage that ends has lasted, in seconds
   */
  void setOutage(boolean outage, double durationS) {
    state.unavailableFor = outage ? (method, path) -> true : (method, path) -> false;
    if (!outage) {
      state.extendLeasesAfterOutage(durationS);
    }
  }

  /**
   * Waits, for at most 300 s, until every accepted job has a final status. A worker lease may have
   * to expire first, and the team's quota lets only a few tasks run at a time.
   */
  void awaitEveryJobEnds() {
    for (int i = 0;
        i < 60
            && jobs.values().stream().anyMatch(view -> view.accepted && view.finalStatus == null);
        i++) {
      jobs.values().stream()
          .filter(view -> view.accepted && view.finalStatus == null)
          .forEach(view -> poll(processes.get("n-0"), view));
      advanceAndCheckRules(5);
    }
    List<String> open = new ArrayList<>();
    jobs.values().stream()
        .filter(view -> view.accepted && view.finalStatus == null)
        .forEach(view -> open.add(view.job.id()));
    assertTrue(open.isEmpty(), () -> "jobs without a final status: " + open);
  }

  /** Ends all faults but those of hung machines, and restarts the crashed controllers. */
  void clearFaults() {
    delayedCommitShare = 0;
    delayedCommandShare = 0;
    repeatedCommandShare = 0;
    duplicatedHeartbeatShare = 0;
    setOutage(false, Double.isNaN(outageStartedAt) ? 0 : loop.now() - outageStartedAt);
    outageStartedAt = Double.NaN;
    isolatedZone = null;
    for (String name : List.of("n-0", "n-1", "n-2")) {
      ControllerProcess current = processes.get(name);
      if (current.crashed) {
        current = startController(name);
      }
      current.refusedByStateService = false;
      current.peersUnreachable = false;
      current.workersUnreachable = false;
    }
    workers
        .values()
        .forEach(
            worker -> {
              worker.inboundMessagesLost = false;
              worker.heartbeatsLost = false;
            });
  }

  /** Returns a random controller process, which may have crashed. */
  ControllerProcess randomController() {
    return List.copyOf(processes.values()).get(random.nextInt(processes.size()));
  }
}
