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

/** What a new leader may place after a failover, and what it has to wait for. */
class FailoverTest extends ClusterTestBase {
  @ParameterizedTest
  @CsvSource({"99, false", "101, true"})
  void olderJobWaitsForUnreconciledMachinesAndNewerOneDoesNot(long version, boolean placeable) {
    cluster.addRegistered("host-1", 0, null);
    job(version);
    assertEquals(placeable, placeable());
  }

  @Test
  void machineIsReconciledOnceItShowsTheFencingToken() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 1, TERM - 1));
    assertFalse(placeable(), "a launch of the last leader may still arrive there");
    assertNotNull(cluster.nextBatch(machine("host-1")), "it is sent the token at once");
    cluster.heartbeatReceived(heartbeat("host-1", 1, 2, TERM));
    assertTrue(placeable());
  }

  /**
   * A new leader does not wait until every machine has found it: it sends a batch to those that the
   * cloud's list tells it of.
   */
  @Test
  void registeredMachineIsSentAnEmptyBatchBeforeItsFirstHeartbeat() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    Machine machine = machine("host-1");
    assertNull(cluster.nextBatch(machine), "its address is not known");
    cluster.machineListed(
        new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, false, 90));
    assertEquals(machine, cluster.nextMachineWithCommands());
    CommandBatch guess = nextBatch(machine);
    assertEquals(1, guess.epoch());
    assertTrue(guess.commands().isEmpty());
    cluster.batchCompleted(
        guess, DeliveryOutcome.NOT_EXECUTED, heartbeat("host-1", 3, ++sequence, TERM - 1));
    assertFalse(placeable(), "a launch of the last leader may still arrive there");
    CommandBatch right = nextBatch(machine);
    assertEquals(3, right.epoch());
    cluster.batchCompleted(
        right, DeliveryOutcome.EXECUTED, heartbeat("host-1", 3, ++sequence, TERM));
    assertTrue(placeable());
    assertNull(cluster.nextBatch(machine));
    loop.advance(TestData.LEASE_S + 1);
    cluster.expireLeases();
    assertFalse(machine.isUp(), "a direct command renews no lease");
  }

  /**
   * Unreconciled machines may hold anything that was launched: the last leader wrote up to which
   * task that is, so later tasks need not wait for them.
   */
  @ParameterizedTest
  @CsvSource({"0, 0 1 2", "2, 2", "3, ''"})
  void tasksFromTheLaunchWatermarkOnWaitForNoMachine(int launchWatermark, String placeable) {
    cluster.addRegistered("host-1", 0, null);
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 3, 4), 1, 0, new BitSet(), launchWatermark);
    up("host-2");
    assertEquals(placeable, placed(plan(teams())));
  }

  /**
   * Were a task launched before the watermark is written, the next leader might take it for one
   * that never was.
   */
  @Test
  void taskIsLaunchedOnlyOnceItsLaunchWatermarkIsSaved() {
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 3, 4), KEY + 1, 0, new BitSet(), 0);
    Machine machine = up("host-1");
    assertTrue(cluster.view().pendingJobs(false).isEmpty(), "the watermark cannot be written now");
    cluster.place(TASK, "host-1");
    cluster.retryCommands();
    assertNull(cluster.nextBatch(machine));
    assertTrue(cluster.responseCommands(machine).isEmpty());
    Job job = cluster.jobsAwaitingLaunchWatermark().iterator().next();
    assertEquals(1, job.requestedLaunchWatermark());
    cluster.launchWatermarkSaved(job, 1);
    assertTrue(cluster.jobsAwaitingLaunchWatermark().isEmpty());
    assertEquals(List.of(Command.Action.LAUNCH), ops(nextBatch(machine).commands()));
    cluster.place(new TaskId("wk-1", 1), "host-1");
    assertEquals(2, job.requestedLaunchWatermark());
    assertNull(cluster.nextBatch(machine));
  }

  /**
   * Of a machine whose heartbeats had stopped, the last leader wrote what it held at most: only
   * that must wait for it.
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
    Machine machine = up("host-2");
    cluster.registry().markRegistered(List.of(machine));
    SchedulingPlan plan = plan(teams());
    assertEquals(placeable, placed(plan));
    cluster.addRegistered("host-3", 0, null);
    assertFalse(placeable(), "that one may hold anything");
  }

  /** Once what it holds is being written, nothing may be added until another entry is confirmed. */
  @Test
  void cordonedMachineIsSchedulableOnlyOnceItsNewEntryIsConfirmed() {
    Machine machine = up("host-1");
    job(101);
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
  void olderJobWaitsForUnheardMachineUntilItsLeaseMustHaveExpired() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    loop.advance(TestData.LEASE_S);
    cluster.expireLeases();
    assertFalse(placeable(), "its clock may run slow");
    loop.advance(1);
    cluster.expireLeases();
    assertTrue(placeable());
  }

  /**
   * A machine that vanished between two leaders must not hold up every waiting job for the time of
   * a lease.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "60, true"})
  void longKnownMachineIsRemovedByTheFirstListThatLacksIt(double age, boolean placeable) {
    cluster.addRegistered("host-1", age, null);
    job(1);
    cluster.removeUnlisted(Set.of(), loop.now());
    assertEquals(placeable, placeable());
  }

  @Test
  void runningTaskOfEarlierTermIsAdopted() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1", 1, 1, TERM, taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertFalse(placeable());
    assertEquals(1, openJob("wk-1").runningTaskCount());
  }

  @Test
  void taskOfNoOpenJobIsStopped() {
    Machine machine = up("host-1");
    cluster.heartbeatReceived(
        heartbeat(
            "host-1", 1, 9, TERM, taskStatus("wk-7", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertEquals(List.of(Command.Action.STOP), ops(nextBatch(machine).commands()));
  }

  @Test
  void possibleTasksCountAgainstTheLimit() {
    cluster.addRegistered("host-1", 0, null);
    job(1);
    Map<String, Team> teams = teams();
    var more = TestData.job("wk-2", "red", Priority.STANDARD, 1, 62);
    cluster.addJob(more, KEY + 1, 0, new BitSet(), Integer.MAX_VALUE);
    Machine machine = up("host-2");
    SchedulingPlan plan = plan(teams);
    assertTrue(
        plan.placements().isEmpty() && plan.unplaced().isEmpty(),
        "4 that may run and 62 are beyond 64");
    assertTrue(machine.isReconciled());
  }

  /**
   * Tasks of a job that was cancelled a moment before the failover may still run: on a machine that
   * may hold anything, on one whose entry names them, or on one that shows them. Their team is not
   * known any more.
   */
  @ParameterizedTest
  @CsvSource({"possible anywhere, 0", "possible, 0", "of an open job, 1", "shown, 0", "nowhere, 1"})
  void possibleTasksOfUnknownJobsCountAgainstEveryLimit(String what, int placed) {
    Machine machine = up("host-1");
    cluster.machineListed(new ListedMachine("host-2", null, "big", "a", true, false, 90));
    if (what.equals("possible anywhere")) {
      cluster.addRegistered("host-2", 0, null);
    } else if (what.equals("shown")) {
      cluster.heartbeatReceived(
          heartbeat(
              "host-2", 1, 9, TERM, taskStatus("wk-7", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    } else if (!what.equals("nowhere")) {
      cluster.addRegistered(
          "host-2", 0, Set.of(new TaskId(what.equals("possible") ? "wk-7" : "wk-8", 0)));
    }
    cluster.addJob(TestData.job("wk-8", "free", Priority.STANDARD, 1, 32), 1, 0, new BitSet(), 1);
    cluster.addJob(
        TestData.job("wk-2", "red", Priority.STANDARD, 1, 62 - 29), KEY + 1, 0, new BitSet(), 1);
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
        placed,
        plan(teams()).placements().stream().filter(p -> p.task().job().equals("wk-2")).count());
  }

  /**
   * A job is cancelled while a machine that holds a task of it is unreconciled: the task may run
   * on, beside the tasks of open jobs on other machines, and not instead of them.
   */
  @ParameterizedTest
  @CsvSource({"'', 0", "host-1, 0", "host-2, 1"})
  void jobsCancelledDuringFailoverCountBesideOpenOnes(String reconciled, int placed) {
    cluster.addRegistered("host-1", 0, Set.of(new TaskId("wk-1", 0)));
    cluster.addRegistered("host-2", 0, Set.of(new TaskId("wk-2", 0)));
    cluster.machineListed(new ListedMachine("host-1", null, "big", "a", true, false, 90));
    cluster.machineListed(new ListedMachine("host-2", null, "big", "a", true, false, 90));
    for (String id : List.of("wk-1", "wk-2")) {
      cluster.addJob(TestData.job(id, "red", Priority.STANDARD, 1, 30), 1, 0, new BitSet(), 1);
    }
    cluster.addJob(
        TestData.job("wk-3", "red", Priority.STANDARD, 1, 8), KEY + 1, 0, new BitSet(), 1);
    up("host-3");
    assertEquals("", placed(plan(teams())), "two tasks of 30 CPUs, and 8 more, are beyond 64");
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
