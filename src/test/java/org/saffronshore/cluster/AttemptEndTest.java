package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.Priority;

/**
 * The ways in which an attempt ends and its task becomes placeable again, and the handling of
 * machines and jobs whose tasks keep failing.
 */
class AttemptEndTest extends ClusterTestBase {
  @Test
  void tasksOfSilentMachineArePlaceableAgainAfterItsLeaseHasExpired() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat(
            "host-1",
            1,
            50,
            TERM,
            taskStatus(
                "wk-1", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE)));
    loop.advance(TestData.LEASE_S);
    cluster.expireLeases();
    assertFalse(hasPlaceableJob());
    loop.advance(1);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            70,
            TERM,
            taskStatus(
                "wk-1", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE)));
    assertTrue(hasPlaceableJob(), "a late heartbeat of an expired epoch is ignored");
  }

  @Test
  void statusInCommandResponseDoesNotRenewLease() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    loop.advance(TestData.LEASE_S - 1);
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat(
            "host-1",
            1,
            50,
            TERM,
            taskStatus(
                "wk-1", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE)));
    loop.advance(2);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
  }

  @Test
  void olderHeartbeatIsIgnored() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    long attempt = batch.launches().get(0).number();
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat(
            "host-1",
            1,
            50,
            TERM,
            taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE)));
    cluster.heartbeatReceived(heartbeat("host-1", 1, 49, TERM));
    cluster.heartbeatReceived(heartbeat("host-1", 0, 99, TERM));
    assertFalse(hasPlaceableJob());
  }

  /**
   * A machine that is missing from the cloud's list is removed only if it was known well before the
   * list was requested, since the list may be older than the machine.
   *
   * @param age seconds for which the machine was known when the list was requested
   * @param removed whether the list removes the machine
   */
  @ParameterizedTest
  @CsvSource({"1, false", "9, false", "15, true"})
  void machineIsRemovedOnlyByListRequestedWellAfterItBecameKnown(double age, boolean removed) {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    launch(machine);
    loop.advance(age);
    cluster.removeUnlisted(Set.of(), loop.now());
    assertEquals(removed, cluster.machine("host-1") == null);
    assertEquals(removed, hasPlaceableJob());
    if (removed) {
      assertNull(
          cluster.heartbeatReceived(heartbeat("host-1", 1, 99, TERM)),
          "a late heartbeat of a removed machine is rejected");
    }
  }

  @Test
  void tasksOfFailedMachineArePlaceableAgain() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    launch(machine);
    cluster.machineListed(new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, true, 50));
    assertTrue(hasPlaceableJob());
    assertFalse(machine.isSchedulable(loop.now()));
  }

  @ParameterizedTest
  @EnumSource(
      value = ExitReason.class,
      names = {
        "STOPPED",
        "FAILED",
        "INSUFFICIENT_RESOURCES",
        "ALREADY_RUNNING",
        "UNKNOWN_TASK",
        "COMPLETED"
      })
  void taskIsFinishedOnlyWhenExitReasonIsCompleted(ExitReason reason) {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    Heartbeat.TaskStatus exited =
        taskStatus("wk-1", 0, batch.launches().get(0).number(), TaskState.EXITED, reason);
    cluster.batchCompleted(
        batch, DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, 50, TERM, exited));
    assertEquals(reason == ExitReason.COMPLETED, openJob("wk-1").isComplete());
    assertFalse(hasPlaceableJob(), "a copy of the launch would start a task that the worker lost");
    cluster.heartbeatReceived(heartbeat("host-1", 1, 51, TERM + 1, exited));
    assertEquals(reason != ExitReason.COMPLETED, hasPlaceableJob());
    assertEquals(
        reason != ExitReason.COMPLETED,
        actions(cluster.responseCommands(machine)).contains(Command.Action.REAP),
        "a completed attempt is not reaped until the state service has stored the result");
  }

  @Test
  void machineWithConsecutiveFailuresIsQuarantinedAndJobFailingOnSeveralMachinesBacksOff() {
    for (int i = 0; i < 2; i++) {
      cluster.addJob(
          TestData.job("wk-" + i, "red", Priority.STANDARD, 1, 4),
          TERM_VERSION + 1,
          0,
          new BitSet(),
          Integer.MAX_VALUE);
    }
    Machine faulty = addUpMachine("host-1");
    for (int i = 0; i < MachineHealth.MAX_CONSECUTIVE_FAILURES; i++) {
      cluster.heartbeatReceived(
          heartbeat(
              "host-1",
              1,
              100 + 2 * i,
              TERM,
              taskStatus("wk-" + i, 0, 7, TaskState.RUNNING, ExitReason.NONE)));
      cluster.heartbeatReceived(
          heartbeat(
              "host-1",
              1,
              101 + 2 * i,
              TERM,
              taskStatus("wk-" + i, 0, 7, TaskState.EXITED, ExitReason.FAILED)));
    }
    assertTrue(faulty.isQuarantined());
    assertEquals(
        2,
        cluster.view().pendingJobs(true).size(),
        "both jobs stay pending: each failed on one machine only");

    for (int i = 2; i < 5; i++) {
      addUpMachine("host-" + i);
      cluster.heartbeatReceived(
          heartbeat(
              "host-" + i,
              1,
              200,
              TERM,
              taskStatus("wk-1", 0, 7 + i, TaskState.RUNNING, ExitReason.NONE)));
      cluster.heartbeatReceived(
          heartbeat(
              "host-" + i,
              1,
              201,
              TERM,
              taskStatus("wk-1", 0, 7 + i, TaskState.EXITED, ExitReason.FAILED)));
    }
    assertEquals(
        List.of("wk-0"),
        cluster.view().pendingJobs(true).stream().map(job -> job.job().id()).toList());
    assertFalse(machine("host-4").isQuarantined());
  }
}
