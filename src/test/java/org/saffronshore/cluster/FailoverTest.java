package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Tests which tasks a new leader may place after a failover, and which have to wait. */
class FailoverTest extends ClusterTestBase {
  /** What the new leader knows of host-2; its text is the display name of the cases. */
  private enum MachineState {
    ANY_TASK_POSSIBLE("registry entry without tasks", 0),
    TASK_OF_UNKNOWN_JOB_POSSIBLE("registry entry with a task of an unknown job", 0),
    TASK_OF_OPEN_JOB_POSSIBLE("registry entry with a task of an open job", 1),
    TASK_OF_UNKNOWN_JOB_SHOWN("heartbeat with a task of an unknown job", 0),
    NO_TASK_POSSIBLE("neither registry entry nor heartbeat", 1);

    private final String displayName;

    /** The number of tasks that are placed for a job that would fill the team's limit. */
    private final int placed;

    MachineState(String displayName, int placed) {
      this.displayName = displayName;
      this.placed = placed;
    }

    @Override
    public String toString() {
      return displayName;
    }
  }

  @ParameterizedTest
  @CsvSource({"99, false", "101, true"})
  void onlyJobOlderThanTermWaitsForUnreconciledMachines(long version, boolean placeable) {
    cluster.addRegistered("host-1", 0, null);
    addJob(version);
    assertEquals(placeable, hasPlaceableJob());
  }

  @Test
  void machineIsReconciledOnceItShowsTheFencingToken() {
    cluster.addRegistered("host-1", 0, null);
    addJob(1);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 1, TERM - 1));
    assertFalse(hasPlaceableJob(), "a launch of the previous leader may still arrive there");
    assertNotNull(
        cluster.nextBatch(machine("host-1")), "a batch with the fencing token is sent at once");
    cluster.heartbeatReceived(heartbeat("host-1", 1, 2, TERM));
    assertTrue(hasPlaceableJob());
  }

  /**
   * Guards against a new leader that waits until every worker has found it, which delays older jobs
   * after a failover. It sends a batch to each registered machine as soon as the cloud's list has
   * given the address.
   */
  @Test
  void registeredMachineIsSentAnEmptyBatchBeforeItsFirstHeartbeat() {
    cluster.addRegistered("host-1", 0, null);
    addJob(1);
    Machine machine = machine("host-1");
    assertNull(cluster.nextBatch(machine), "the address of the machine is not known");
    cluster.machineListed(
        new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, false, 90));
    assertEquals(machine, cluster.nextMachineWithCommands());
    CommandBatch first = nextBatch(machine);
    assertEquals(1, first.epoch());
    assertTrue(first.commands().isEmpty());
    cluster.batchCompleted(
        first, DeliveryOutcome.NOT_EXECUTED, heartbeat("host-1", 3, ++sequence, TERM - 1));
    assertFalse(hasPlaceableJob(), "a launch of the previous leader may still arrive there");
    CommandBatch second = nextBatch(machine);
    assertEquals(3, second.epoch());
    cluster.batchCompleted(
        second, DeliveryOutcome.EXECUTED, heartbeat("host-1", 3, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
    assertNull(cluster.nextBatch(machine));
    loop.advance(TestData.LEASE_S + 1);
    cluster.expireLeases();
    assertFalse(machine.isUp(), "the response to a command renews no lease");
  }

  /**
   * Unreconciled machines may hold any task that was launched. The previous leader stored the
   * launch watermark, so tasks from it on were never launched and need not wait for these machines.
   */
  @ParameterizedTest
  @CsvSource({"0, 0 1 2", "2, 2", "3, ''"})
  void tasksFromLaunchWatermarkOnDoNotWaitForUnreconciledMachines(
      int launchWatermark, String placeable) {
    cluster.addRegistered("host-1", 0, null);
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 3, 4), 1, 0, new BitSet(), launchWatermark);
    addUpMachine("host-2");
    assertEquals(placeable, placedIndexes(plan(teams())));
  }

  /**
   * Guards against a task that is launched before its launch watermark is stored: the next leader
   * would assume that it was never launched, and launch it a second time.
   */
  @Test
  void taskIsLaunchedOnlyOnceItsLaunchWatermarkIsSaved() {
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 3, 4), TERM_VERSION + 1, 0, new BitSet(), 0);
    Machine machine = addUpMachine("host-1");
    assertTrue(
        cluster.view().pendingJobs(false).isEmpty(), "the launch watermark cannot be written now");
    cluster.place(TASK, "host-1");
    cluster.retryCommands();
    assertNull(cluster.nextBatch(machine));
    assertTrue(cluster.responseCommands(machine).isEmpty());
    Job job = cluster.jobsAwaitingLaunchWatermark().iterator().next();
    assertEquals(1, job.requestedLaunchWatermark());
    cluster.launchWatermarkSaved(job, 1);
    assertTrue(cluster.jobsAwaitingLaunchWatermark().isEmpty());
    assertEquals(List.of(Command.Action.LAUNCH), actions(nextBatch(machine).commands()));
    cluster.place(new TaskId("wk-1", 1), "host-1");
    assertEquals(2, job.requestedLaunchWatermark());
    assertNull(cluster.nextBatch(machine));
  }

  /**
   * When the heartbeats of a machine stopped, the previous leader stored the tasks that it could
   * hold. Only these tasks have to wait for the machine.
   */
  @ParameterizedTest
  @CsvSource({"false, 0 1 2", "true, 1 2"})
  void onlyPossibleTasksWaitForCordonedMachine(boolean isPossible, String placeable) {
    cluster.addRegistered("host-1", 0, Set.of(TASK, new TaskId("wk-5", 1)));
    cluster.addJob(
        TestData.job(isPossible ? "wk-1" : "wk-2", "red", Priority.STANDARD, 3, 4),
        1,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    Machine machine = addUpMachine("host-2");
    cluster.registry().markRegistered(List.of(machine));
    SchedulingPlan plan = plan(teams());
    assertEquals(placeable, placedIndexes(plan));
    cluster.addRegistered("host-3", 0, null);
    assertFalse(hasPlaceableJob(), "host-3 may hold any task");
  }

  /**
   * Guards against a task that is placed on a machine whose registry entry does not name it. Once
   * the entry of a cordoned machine is being written, no task may be placed there until a new entry
   * is confirmed.
   */
  @Test
  void cordonedMachineIsSchedulableOnlyOnceItsNewEntryIsConfirmed() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    loop.advance(5);
    cluster.registry().cordonSilentMachines();
    assertEquals(List.of(machine), cluster.registry().takeCordonedMachines());
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM));
    assertFalse(machine.isSchedulable(loop.now()));
    assertTrue(cluster.registry().hasPendingWrites());
    assertEquals(List.of(machine), cluster.registry().unregisteredMachines());
    cluster.registry().markRegistered(List.of(machine));
    assertTrue(machine.isSchedulable(loop.now()));
    cluster.machineRemoved(machine, "returned");
    assertTrue(cluster.registry().removedMachineIds().contains("host-1"));
  }

  @Test
  void olderJobWaitsForSilentMachineUntilItsLeaseMustHaveExpired() {
    cluster.addRegistered("host-1", 0, null);
    addJob(1);
    loop.advance(TestData.LEASE_S);
    cluster.expireLeases();
    assertFalse(hasPlaceableJob(), "the clock of the worker may run slow");
    loop.advance(1);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
  }

  /**
   * Guards against a machine that vanished between two leaders and delays every waiting job until
   * its worker's lease must have expired.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "60, true"})
  void machineKnownLongEnoughIsRemovedByFirstListThatLacksIt(double ageS, boolean placeable) {
    cluster.addRegistered("host-1", ageS, null);
    addJob(1);
    cluster.removeUnlisted(Set.of(), loop.now());
    assertEquals(placeable, hasPlaceableJob());
  }

  @Test
  void runningTaskOfEarlierTermIsAdopted() {
    cluster.addRegistered("host-1", 0, null);
    addJob(1);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1", 1, 1, TERM, taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertFalse(hasPlaceableJob());
    assertEquals(1, openJob("wk-1").runningTaskCount());
  }

  @Test
  void taskWithoutOpenJobIsStopped() {
    Machine machine = addUpMachine("host-1");
    cluster.heartbeatReceived(
        heartbeat(
            "host-1", 1, 9, TERM, taskStatus("wk-7", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertEquals(List.of(Command.Action.STOP), actions(nextBatch(machine).commands()));
  }

  @Test
  void possibleTasksCountAgainstTeamLimit() {
    cluster.addRegistered("host-1", 0, null);
    addJob(1);
    Map<String, Team> teams = teams();
    var other = TestData.job("wk-2", "red", Priority.STANDARD, 1, 62);
    cluster.addJob(other, TERM_VERSION + 1, 0, new BitSet(), Integer.MAX_VALUE);
    Machine machine = addUpMachine("host-2");
    SchedulingPlan plan = plan(teams);
    assertTrue(
        plan.placements().isEmpty() && plan.unplaced().isEmpty(),
        "4 CPUs possibly in use and 62 more exceed the limit of 64");
    assertTrue(machine.isReconciled());
  }

  /**
   * Guards against a team that exceeds its limit because of tasks of a job that was cancelled just
   * before the failover. They may still run on a machine that may hold any task, on one whose
   * registry entry names them, or on one whose heartbeat shows them. The new leader does not know
   * their team, so they count for every team.
   */
  @ParameterizedTest
  @EnumSource
  void possibleTasksOfUnknownJobsCountAgainstEveryTeamLimit(MachineState state) {
    Machine machine = addUpMachine("host-1");
    cluster.machineListed(new ListedMachine("host-2", null, "big", "a", true, false, 90));
    switch (state) {
      case ANY_TASK_POSSIBLE -> cluster.addRegistered("host-2", 0, null);
      case TASK_OF_UNKNOWN_JOB_POSSIBLE ->
          cluster.addRegistered("host-2", 0, Set.of(new TaskId("wk-7", 0)));
      case TASK_OF_OPEN_JOB_POSSIBLE ->
          cluster.addRegistered("host-2", 0, Set.of(new TaskId("wk-8", 0)));
      case TASK_OF_UNKNOWN_JOB_SHOWN ->
          cluster.heartbeatReceived(
              heartbeat(
                  "host-2",
                  1,
                  9,
                  TERM,
                  taskStatus("wk-7", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
      default -> assertEquals(MachineState.NO_TASK_POSSIBLE, state);
    }
    cluster.addJob(TestData.job("wk-8", "free", Priority.STANDARD, 1, 32), 1, 0, new BitSet(), 1);
    cluster.addJob(
        TestData.job("wk-2", "red", Priority.STANDARD, 1, 62 - 29),
        TERM_VERSION + 1,
        0,
        new BitSet(),
        1);
    cluster.machineTypes(
        Map.of(
            "big",
            TestData.MACHINE_TYPES.get("big"),
            "huge",
            new org.saffronshore.wire.MachineType(
                "huge", 64, 0, 256, 50, 1, 2, 1, 40, List.of("a"))));
    cluster.machineListed(new ListedMachine("host-3", null, "huge", "a", true, false, 90));
    Machine huge =
        cluster.heartbeatReceived(
            new Heartbeat(
                "host-3", "10.1.0.1:9000", "huge", "a", true, 1, 1, TERM, null, List.of()));
    cluster.registry().markRegistered(List.of(machine, huge));
    assertEquals(
        state.placed,
        plan(teams()).placements().stream()
            .filter(placement -> placement.task().job().equals("wk-2"))
            .count());
  }

  /**
   * Guards against a limit that is exceeded when a job is cancelled while a machine that may hold
   * one of its tasks is unreconciled. The task may still run, so it counts in addition to the tasks
   * of open jobs on other machines, not instead of them.
   */
  @ParameterizedTest
  @CsvSource({"'', 0", "host-1, 0", "host-2, 1"})
  void tasksOfJobCancelledDuringFailoverCountInAdditionToOpenJobs(String reconciled, int placed) {
    cluster.addRegistered("host-1", 0, Set.of(new TaskId("wk-1", 0)));
    cluster.addRegistered("host-2", 0, Set.of(new TaskId("wk-2", 0)));
    cluster.machineListed(new ListedMachine("host-1", null, "big", "a", true, false, 90));
    cluster.machineListed(new ListedMachine("host-2", null, "big", "a", true, false, 90));
    for (String id : List.of("wk-1", "wk-2")) {
      cluster.addJob(TestData.job(id, "red", Priority.STANDARD, 1, 30), 1, 0, new BitSet(), 1);
    }
    cluster.addJob(
        TestData.job("wk-3", "red", Priority.STANDARD, 1, 8), TERM_VERSION + 1, 0, new BitSet(), 1);
    addUpMachine("host-3");
    assertEquals(
        "",
        placedIndexes(plan(teams())),
        "two tasks of 30 CPUs and one of 8 exceed the limit of 64");
    cluster.removeJob("wk-2");
    if (reconciled.equals("host-1")) {
      cluster.heartbeatReceived(
          heartbeat(
              "host-1",
              1,
              ++sequence,
              TERM,
              taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    } else if (reconciled.equals("host-2")) {
      cluster.heartbeatReceived(heartbeat("host-2", 1, ++sequence, TERM));
    }
    assertEquals(placed, plan(teams()).placements().size());
  }
}
