package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/**
 * Launches that were executed and answered, and that the network delivers once more after the
 * attempt has ended. A worker that was told to forget the attempt would start it anew.
 */
class RepeatedLaunchTest extends RuleCheckingSimulation {
  /** A job with one task that needs a whole machine; its team has no quota. */
  private JobSpec wholeMachineJob(Priority priority) {
    return TestData.job("wk-" + ++lastJobNumber, "free", priority, 1, MACHINE_CPUS);
  }

  private FakeWorker workerOf(String task) {
    return workers.values().stream()
        .filter(worker -> worker.activeTasks().contains(task))
        .findFirst()
        .orElseThrow(() -> new AssertionError(task + " is on no machine"));
  }

  private void crashLeaderIf(boolean crashed) {
    if (crashed) {
      leader().crashed = true;
      advanceAndCheckRules(1);
    }
  }

  /** Delivers all direct commands that were executed once more; the workers must start nothing. */
  private void repeatAllCommands() {
    List<String> before = List.copyOf(startedTasks);
    for (FakeWorker worker : List.copyOf(workers.values())) {
      for (JsonNode message : List.copyOf(worker.executedMessages)) {
        worker.handleCommands(message);
      }
    }
    assertEquals(before, startedTasks);
  }

  /** Guards against ran_twice: the task was preempted, and continues on another machine. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void repeatedLaunchOfPreemptedTaskDoesNotStartItOnASecondMachine(boolean leaderCrashes) {
    maxMachines = 2;
    runtimeS = 20;
    submit(leader(), wholeMachineJob(Priority.URGENT));
    advanceAndCheckRules(5);
    runtimeS = 300;
    UserView preempted = submit(leader(), wholeMachineJob(Priority.IDLE));
    advanceAndCheckRules(5);
    final FakeWorker first = workerOf(preempted.job.id() + "/0");
    submit(leader(), wholeMachineJob(Priority.URGENT));
    advanceAndCheckRules(5);
    assertEquals(0, activeTaskCount(preempted));
    advanceAndCheckRules(15);
    assertNotEquals(first, workerOf(preempted.job.id() + "/0"));
    crashLeaderIf(leaderCrashes);
    repeatAllCommands();
    advanceAndCheckRules(5);
    assertEquals(1, activeTaskCount(preempted));
  }

  /** Guards against ran_cancelled: the job was cancelled long before the launch is repeated. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void repeatedLaunchOfCancelledTaskDoesNotStartIt(boolean leaderCrashes) {
    UserView cancelled = submit(leader(), job(2));
    advanceAndCheckRules(10);
    assertEquals(2, activeTaskCount(cancelled));
    cancel(leader(), cancelled);
    advanceAndCheckRules(5);
    assertEquals(0, activeTaskCount(cancelled));
    submit(leader(), job(4));
    advanceAndCheckRules(CANCEL_S);
    crashLeaderIf(leaderCrashes);
    repeatAllCommands();
    advanceAndCheckRules(1);
  }

  /** Guards against quota: other tasks of the team have taken the room under its limit. */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true", "false, false"})
  void repeatedLaunchDoesNotStartTaskOfTeamAtItsQuota(boolean completed, boolean leaderCrashes) {
    runtimeS = completed ? 8 : 300;
    UserView ended = submit(leader(), job(4));
    advanceAndCheckRules(8);
    assertEquals(4, activeTaskCount(ended));
    if (!completed) {
      cancel(leader(), ended);
    }
    runtimeS = 300;
    UserView successor = submit(leader(), job(4));
    advanceAndCheckRules(20);
    assertEquals(0, activeTaskCount(ended));
    assertEquals(TEAM_LIMIT_CPUS, activeTaskCount(successor) * TASK_CPUS);
    crashLeaderIf(leaderCrashes);
    repeatAllCommands();
  }

  /** Guards against wrong_place: the rest of a SamePlace job runs in another zone by now. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void repeatedLaunchDoesNotStartTaskOutsideTheZoneOfItsJob(boolean leaderCrashes) {
    maxMachines = 0;
    FakeWorker first = addMachine("a");
    FakeWorker second = addMachine("a");
    advanceAndCheckRules(5);
    runtimeS = 300;
    UserView view =
        submit(
            leader(),
            inSingleZone(
                TestData.job("wk-" + ++lastJobNumber, "free", Priority.IDLE, 2, MACHINE_CPUS)));
    advanceAndCheckRules(5);
    assertEquals(2, activeTaskCount(view));
    String completed = first.activeTasks().get(0);
    first.tasks.keySet().stream()
        .filter(key -> key.startsWith(completed + "#"))
        .findFirst()
        .ifPresent(key -> first.endTask(key, "done"));
    advanceAndCheckRules(3);
    runtimeS = 30;
    submit(leader(), wholeMachineJob(Priority.URGENT));
    advanceAndCheckRules(5);
    runtimeS = 300;
    removeMachine(second);
    final FakeWorker elsewhere = addMachine("b");
    advanceAndCheckRules(30);
    assertEquals(1, activeTaskCount(view));
    assertEquals(1, elsewhere.activeTasks().size());
    crashLeaderIf(leaderCrashes);
    repeatAllCommands();
  }

  /** The commands of a leader must never be executed after those of its successor. */
  @Test
  void nextLeaderHasALargerFencingTokenThanWorkersHaveSeen() {
    runtimeS = 1;
    submit(leader(), job(4));
    advanceAndCheckRules(15);
    long term = leader().controller.leadership().term();
    long largest =
        workers.values().stream().mapToLong(worker -> worker.fencingToken).max().orElse(0);
    assertTrue(largest > term, "the leader has raised fencing tokens");
    leader().crashed = true;
    submit(follower(), job(4));
    advanceAndCheckRules(30);
    assertTrue(leader().controller.leadership().term() > largest);
    for (FakeWorker worker : workers.values()) {
      assertTrue(worker.fencingToken >= leader().controller.leadership().term());
    }
  }

  /** A preempted task is placed on its machine again once there is room. */
  @Test
  void preemptedTaskContinuesOnItsMachineWithinAHeartbeatInterval() {
    maxMachines = 1;
    runtimeS = 300;
    UserView preempted = submit(leader(), wholeMachineJob(Priority.IDLE));
    advanceAndCheckRules(10);
    runtimeS = 3;
    UserView urgent = submit(leader(), wholeMachineJob(Priority.URGENT));
    advanceAndCheckRules(2);
    assertEquals(1, activeTaskCount(urgent));
    runtimeS = 300;
    advanceAndCheckRules(2 + 2 * heartbeatIntervalS);
    assertEquals(0, activeTaskCount(urgent));
    assertEquals(1, activeTaskCount(preempted));
  }

  /**
   * Guards against heartbeats that grow with the age of the leader: exited attempts are reaped
   * soon, also under one leader that has run a thousand of them.
   */
  @Test
  void heartbeatsDoNotGrowWithTheAgeOfTheLeader() {
    maxMachines = 2;
    runtimeS = 0.5;
    long term = leader().controller.leadership().term();
    List<Integer> largest = new ArrayList<>();
    for (int round = 0; round < 10; round++) {
      submit(leader(), TestData.job("wk-" + ++lastJobNumber, "free", Priority.STANDARD, 100, 4));
      advanceAndCheckRules(40);
      largest.add(
          workers.values().stream().mapToInt(worker -> worker.maxTasksInHeartbeat).max().orElse(0));
    }
    assertEquals(term, leader().controller.leadership().term());
    assertTrue(completedTasks.size() >= 1000, completedTasks.size() + " completed tasks");
    assertEquals(largest.get(1), largest.get(9), () -> "largest heartbeat by round: " + largest);
  }
}
