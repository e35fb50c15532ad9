package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.wire.Priority;

/**
 * A machine, a controller or both are back within a second, and later a copy of a launch arrives
 * that was executed and answered before. The task of the launch has stayed on its machine, has
 * moved to another one, or was cancelled.
 */
class CopyAfterRestartTest extends RuleCheckingSimulation {
  /** What is back within a second. */
  enum Restart {
    /** The machine; its worker continues its epoch, so that copies of launches still match it. */
    MACHINE,
    /** The machine; its worker begins a new epoch. */
    MACHINE_IN_NEW_EPOCH,
    /** The leader's process. */
    LEADER,
    /** The processes of all controllers. */
    ALL_CONTROLLERS,
    /** The machine and the leader's process. */
    MACHINE_AND_LEADER
  }

  private FakeWorker first;

  /** Machines are added by the tests only, since each task needs a whole one. */
  @BeforeEach
  void addFirstMachine() {
    maxMachines = 0;
    runtimeS = 300;
    first = addMachine("a");
    advanceAndCheckRules(5);
  }

  /** Submits a job with one task that needs a whole machine, and waits until it has started. */
  private UserView startTask() {
    UserView view = submit(leader(), jobOfWholeMachines(1));
    advanceUntilStarted(view);
    return view;
  }

  private void advanceUntilStarted(UserView view) {
    for (int i = 0; i < 4000 && activeTaskCount(view) == 0; i++) {
      advanceAndCheckRules(STEP_S / 10);
    }
    assertEquals(1, activeTaskCount(view), "started tasks");
  }

  private void restart(Restart restart) {
    switch (restart) {
      case MACHINE -> first.losePower(false);
      case MACHINE_IN_NEW_EPOCH -> first.losePower(true);
      case LEADER -> restartControllers(List.of(leader().name));
      case ALL_CONTROLLERS -> restartControllers(List.of("n-0", "n-1", "n-2"));
      default -> {
        first.losePower(false);
        restartControllers(List.of(leader().name));
      }
    }
  }

  private void restartControllers(List<String> names) {
    names.forEach(name -> processes.get(name).crashed = true);
    advanceAndCheckRules(0.5);
    names.forEach(this::startController);
  }

  /** Announces that the cloud will reclaim the first machine, so that it gets no more tasks. */
  private void announceReclaim() {
    first.heartbeat.put("RecallS", 1);
  }

  /** Delivers the given commands once more; returns the tasks that the machine starts. */
  private List<String> repeat(List<JsonNode> messages) {
    int before = startedTasks.size();
    messages.forEach(first::handleCommands);
    return List.copyOf(startedTasks.subList(before, startedTasks.size()));
  }

  /** Delivers copies of the commands now, and again at some moments of the next 40 s. */
  private void repeatForAWhile(List<JsonNode> messages) {
    assertEquals(List.of(), repeat(messages));
    for (int i = 0; i < 8; i++) {
      advanceAndCheckRules(5);
      assertEquals(List.of(), repeat(messages));
    }
  }

  /**
   * Guards against ran_twice: the task is lost with the power of its machine and continues on
   * another one, or on the same one after the leader's end.
   *
   * @param ageS how long the task has run when the machine or the controllers restart
   */
  @ParameterizedTest
  @CsvSource({
    "MACHINE, 0",
    "MACHINE, 2",
    "MACHINE, 20",
    "MACHINE_IN_NEW_EPOCH, 0",
    "MACHINE_IN_NEW_EPOCH, 20",
    "MACHINE_AND_LEADER, 0",
    "MACHINE_AND_LEADER, 2",
    "MACHINE_AND_LEADER, 20"
  })
  void copyDoesNotStartTaskThatMovedAfterRestart(Restart restart, double ageS) {
    UserView view = startTask();
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    advanceAndCheckRules(ageS);
    announceReclaim();
    addMachine("a");
    restart(restart);
    assertEquals(0, activeTaskCount(view));
    advanceUntilStarted(view);
    assertTrue(first.activeTasks().isEmpty());
    repeatForAWhile(executed);
    assertEquals(1, activeTaskCount(view));
  }

  /**
   * Guards against ran_twice: the task was preempted and continues on another machine. Its machine
   * has reported that it has exited, and is without power before it has heard of anything else.
   */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotStartTaskThatMovedBeforeRestart(Restart restart) {
    UserView view = startTask();
    addMachine("b");
    advanceAndCheckRules(5);
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    submit(
        leader(),
        JobBuilder.job("wk-" + ++lastJobNumber, "free", Priority.URGENT)
            .tasks(1)
            .cpus(MACHINE_CPUS)
            .zone("a")
            .build());
    for (int i = 0; i < 400 && first.activeTasks().contains(view.job.id() + "/0"); i++) {
      advanceAndCheckRules(STEP_S / 10);
    }
    advanceUntilStarted(view);
    assertFalse(first.activeTasks().contains(view.job.id() + "/0"));
    restart(restart);
    repeatForAWhile(executed);
    assertEquals(1, activeTaskCount(view));
  }

  /**
   * Guards against ran_cancelled: the task is lost, or stopped, before or after its user cancels.
   */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotStartTaskThatWasCancelled(Restart restart) {
    UserView view = startTask();
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    cancel(leader(), view);
    advanceAndCheckRules(STEP_S);
    restart(restart);
    advanceAndCheckRules(CANCEL_S);
    assertEquals("aborted", view.finalStatus);
    repeatForAWhile(executed);
    assertEquals(0, activeTaskCount(view));
  }

  /** Guards against ran_cancelled: the machine loses the task before it is told to stop it. */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotStartTaskThatWasLostAndThenCancelled(Restart restart) {
    UserView view = startTask();
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    first.losePower(false);
    cancel(follower(), view);
    restart(restart);
    advanceAndCheckRules(5);
    cancel(follower(), view);
    advanceAndCheckRules(CANCEL_S);
    assertEquals("aborted", view.finalStatus);
    repeatForAWhile(executed);
    assertEquals(0, activeTaskCount(view));
  }

  /** Guards against quota: the room of the lost tasks under the limit has been taken by others. */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotStartTaskOfTeamAtItsQuota(Restart restart) {
    for (int i = 0; i < 3; i++) {
      addMachine("a");
    }
    advanceAndCheckRules(5);
    UserView cancelled = submit(leader(), job(4));
    advanceAndCheckRules(STEP_S);
    assertEquals(4, activeTaskCount(cancelled));
    FakeWorker holder =
        workers.values().stream()
            .filter(worker -> !worker.activeTasks().isEmpty())
            .findFirst()
            .orElseThrow();
    first = holder;
    List<JsonNode> executed = new ArrayList<>(holder.executedMessages);
    cancel(leader(), cancelled);
    restart(restart);
    UserView successor = submit(follower(), job(4));
    for (int i = 0; i < 6; i++) {
      advanceAndCheckRules(5);
      cancel(follower(), cancelled);
      submit(follower(), successor.job);
    }
    assertEquals(TEAM_LIMIT_CPUS, activeTaskCount(successor) * TASK_CPUS);
    repeatForAWhile(executed);
  }

  /** A task that stays on its machine, or is started there again, is not disturbed by copies. */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotDisturbTaskThatStayed(Restart restart) {
    UserView view = startTask();
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    restart(restart);
    advanceUntilStarted(view);
    advanceAndCheckRules(5);
    assertEquals(1, activeTaskCount(view));
    repeatForAWhile(executed);
    assertEquals(List.of(view.job.id() + "/0"), first.activeTasks());
    addMachine("b");
    advanceAndCheckRules(10);
    assertEquals(1, activeTaskCount(view));
  }

  /** Guards against wrong_place: the rest of a SamePlace job runs in another zone by now. */
  @ParameterizedTest
  @EnumSource(Restart.class)
  void copyDoesNotStartTaskOutsideTheZoneOfItsJob(Restart restart) {
    UserView view =
        submit(
            leader(),
            JobBuilder.job("wk-" + ++lastJobNumber, "free", Priority.STANDARD)
                .tasks(1)
                .cpus(MACHINE_CPUS)
                .zoneConstraints(true, false)
                .build());
    advanceUntilStarted(view);
    List<JsonNode> executed = new ArrayList<>(first.executedMessages);
    announceReclaim();
    addMachine("b");
    restart(restart);
    advanceAndCheckRules(30);
    repeatForAWhile(executed);
    assertEquals(1, activeTaskCount(view));
  }
}
