package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.Priority;

/** Launches whose delivery is unknown, preemption of overdue tasks, and silent machines. */
class LaunchTest extends ClusterTestBase {
  @ParameterizedTest
  @CsvSource({"EXECUTED, false", "NOT_EXECUTED, true", "UNKNOWN, false"})
  void taskIsPlaceableAgainOnlyWhenItsLaunchCannotArrive(
      DeliveryOutcome outcome, boolean placeable) {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    assertEquals(List.of(Command.Action.LAUNCH), actions(batch.commands()));
    Heartbeat status =
        switch (outcome) {
          case EXECUTED ->
              heartbeat(
                  "host-1",
                  1,
                  50,
                  TERM,
                  taskStatus(
                      "wk-1",
                      0,
                      batch.launches().get(0).number(),
                      TaskState.PULLING_IMAGE,
                      ExitReason.NONE));
          case NOT_EXECUTED -> heartbeat("host-1", 1, 50, TERM);
          case UNKNOWN -> null;
        };
    cluster.batchCompleted(batch, outcome, status);
    assertEquals(placeable, hasPlaceableJob());
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            51,
            TERM,
            outcome == DeliveryOutcome.EXECUTED
                ? Objects.requireNonNull(status).tasks().toArray(new Heartbeat.TaskStatus[0])
                : new Heartbeat.TaskStatus[0]));
    assertEquals(
        placeable,
        hasPlaceableJob(),
        "a heartbeat without the task does not end the attempt while its launch may arrive");
  }

  @Test
  void newEpochEndsAttemptWithLostLaunch() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    cluster.batchCompleted(launch(machine), DeliveryOutcome.UNKNOWN, null);
    cluster.heartbeatReceived(heartbeat("host-1", 2, 60, TERM));
    assertTrue(hasPlaceableJob());
  }

  /**
   * A lost launch may still arrive and start a task of a cancelled job. It is therefore repeated
   * together with a stop, so that the worker knows the attempt as ended when the late copy arrives.
   */
  @Test
  void lostLaunchOfCancelledJobIsRepeatedWithStop() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    cluster.removeJob("wk-1");
    loop.advance(5);
    assertEquals(
        List.of(Command.Action.LAUNCH, Command.Action.STOP),
        actions(cluster.responseCommands(machine)));
  }

  @Test
  void exitedAttemptIsNotReapedWhileItsLaunchMayArrive() {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    Heartbeat.TaskStatus exited =
        taskStatus(
            "wk-1", 0, batch.launches().get(0).number(), TaskState.EXITED, ExitReason.FAILED);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 50, TERM, exited));
    assertFalse(hasPlaceableJob(), "the launch would start the task if the worker lost it");
    assertFalse(actions(cluster.responseCommands(machine)).contains(Command.Action.REAP));
    cluster.heartbeatReceived(heartbeat("host-1", 1, 51, TERM + 1, exited));
    assertTrue(hasPlaceableJob(), "the attempt has exited, and the worker rejects its launch");
    assertFalse(actions(cluster.responseCommands(machine)).contains(Command.Action.REAP));
    assertTrue(machine.tasks().hasRecordOf(TASK), "the task must be placed on another machine");
  }

  /**
   * A task that was placed because its job was overdue is not preempted for a job of higher
   * priority.
   */
  @ParameterizedTest
  @CsvSource({"false, 1", "true, 0"})
  void overdueTaskIsNotPreempted(boolean overdue, int stops) {
    Machine machine = addUpMachine("host-1");
    cluster.addJob(
        TestData.job("wk-1", "free", Priority.STANDARD, 1, 32),
        101,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    cluster.place(TASK, machine.id(), overdue);
    cluster.addJob(
        TestData.job("wk-2", "free", Priority.URGENT, 1, 32),
        102,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    SchedulingPlan plan = plan(teams());
    assertEquals(stops, plan.preemptions().size());
  }

  /**
   * A machine that no longer sends heartbeats may hang. Tasks placed on it would make no progress
   * until its lease expires.
   */
  @Test
  void silentMachineIsNotSchedulable() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    loop.advance(3 * 2.2 + 0.1);
    assertEquals(0, cluster.view().schedulableMachines().size());
    cluster.place(TASK, machine.id());
    assertTrue(hasPlaceableJob());
    addUpMachine("host-1");
    assertEquals(1, cluster.view().schedulableMachines().size());
  }
}
