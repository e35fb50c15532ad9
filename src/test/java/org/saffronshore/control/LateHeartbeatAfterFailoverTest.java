package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/** A late copy of a heartbeat of a machine that is gone reaches a later leader. */
class LateHeartbeatAfterFailoverTest extends RuleCheckingSimulation {
  private FakeWorker first;

  /** Machines are added by the tests only, since each task needs a whole one. */
  @BeforeEach
  void addFirstMachine() {
    maxMachines = 0;
    runtimeS = 300;
    first = addMachine("a");
    advanceAndCheckRules(5);
  }

  private void advanceUntilRunning(UserView view, int tasks) {
    for (int i = 0; i < 200 && activeTaskCount(view) < tasks; i++) {
      advanceAndCheckRules(STEP_S);
    }
    assertEquals(tasks, activeTaskCount(view));
  }

  private void failOver() {
    String crashed = leader().name;
    leader().crashed = true;
    advanceAndCheckRules(15);
    startController(crashed);
    advanceAndCheckRules(5);
  }

  /**
   * Guards against wrong_place: a machine of a job that must run in one zone is lost, and the job
   * goes on in another zone. A late copy of the machine's last heartbeat then made the next leader
   * start a task in the former zone.
   */
  @ParameterizedTest
  @CsvSource({"1, true, false", "1, false, true", "2, true, false"})
  void lateHeartbeatOfLostMachineDoesNotWidenTheZonesOfAJob(
      int failovers, boolean singleZone, boolean spread) {
    UserView view =
        submit(
            leader(),
            JobBuilder.copyOf(jobOfWholeMachines(2)).zoneConstraints(singleZone, spread).build());
    advanceUntilRunning(view, 1);
    final byte[] lastHeartbeat = Json.bytes(first.heartbeat());
    assertEquals(List.of(view.job.id() + "/0"), first.activeTasks());
    removeMachine(first);
    addMachine("b");
    advanceUntilRunning(view, 1);
    for (int i = 0; i < failovers; i++) {
      failOver();
    }
    LateHeartbeats.deliver(lastHeartbeat, leader());
    addMachine("a");
    advanceAndCheckRules(5);
    assertEquals(
        spread ? 2 : 1,
        activeTaskCount(view),
        "a job that must be spread has room in its other zone, a job in one zone has none");
    runtimeS = 1;
    workers.values().forEach(LateHeartbeatAfterFailoverTest::completeTasks);
    awaitEveryJobEnds();
    assertEquals("done", view.finalStatus);
  }

  /** A task that runs nowhere is started at once: it does not wait for what a late copy shows. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void taskShownByLateHeartbeatOfLostMachineStartsElsewhereAtOnce(boolean singleZone) {
    JobSpec job =
        JobBuilder.copyOf(jobOfWholeMachines(1)).zoneConstraints(singleZone, false).build();
    UserView view = submit(leader(), job);
    advanceUntilRunning(view, 1);
    final byte[] lastHeartbeat = Json.bytes(first.heartbeat());
    removeMachine(first);
    advanceAndCheckRules(20);
    failOver();
    LateHeartbeats.deliver(lastHeartbeat, leader());
    advanceAndCheckRules(1);
    addMachine("b");
    advanceAndCheckRules(3);
    assertEquals(1, activeTaskCount(view));
    assertEquals(2, startedTasks.size(), "starts, one on each machine");
  }

  private static void completeTasks(FakeWorker worker) {
    List.copyOf(worker.tasks.keySet()).forEach(key -> worker.endTask(key, "done"));
  }
}
