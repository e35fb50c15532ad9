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

/** Launches whose delivery is unknown, and machines on which nothing is launched. */
class LaunchTest extends ClusterTestBase {
  @ParameterizedTest
  @CsvSource({"EXECUTED, false", "NOT_EXECUTED, true", "UNKNOWN, false"})
  void taskIsPlaceableAgainOnlyWhenItsLaunchCannotArrive(
      DeliveryOutcome outcome, boolean placeable) {
    job(101);
    Machine machine = up("host-1");
    CommandBatch batch = launch(machine);
    assertEquals(List.of(Command.Action.LAUNCH), ops(batch.commands()));
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
    assertEquals(placeable, placeable());
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
        placeable(),
        "a heartbeat without the task proves nothing while the launch may arrive");
  }

  @Test
  void newEpochEndsAttemptWhoseLaunchWasLost() {
    job(101);
    Machine machine = up("host-1");
    cluster.batchCompleted(launch(machine), DeliveryOutcome.UNKNOWN, null);
    cluster.heartbeatReceived(heartbeat("host-1", 2, 60, TERM));
    assertTrue(placeable());
  }

  /**
   * A lost launch is repeated with a stop behind it, so that the late copy finds an attempt that is
   * over.
   */
  @Test
  void lostLaunchOfCancelledJobIsRepeatedWithStop() {
    job(101);
    Machine machine = up("host-1");
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    cluster.removeJob("wk-1");
    loop.pass(5);
    assertEquals(
        List.of(Command.Action.LAUNCH, Command.Action.STOP),
        ops(cluster.responseCommands(machine)));
  }

  @Test
  void exitedAttemptIsNotReapedWhileItsLaunchMayArrive() {
    job(101);
    Machine machine = up("host-1");
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    Heartbeat.TaskStatus ended =
        taskStatus(
            "wk-1", 0, batch.launches().get(0).number(), TaskState.EXITED, ExitReason.FAILED);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 50, TERM, ended));
    assertTrue(placeable(), "it is over there");
    assertFalse(ops(cluster.responseCommands(machine)).contains(Command.Action.REAP));
    assertTrue(machine.tasks().hasRecordOf(TASK), "and must go elsewhere");
  }

  /** The one task with which an overdue job starts is not preempted for a higher priority. */
  @ParameterizedTest
  @CsvSource({"false, 1", "true, 0"})
  void overdueTaskIsNotPreempted(boolean overdue, int stops) {
    Machine machine = up("host-1");
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

  /** Tasks that are put on a machine that hangs are lost time, for as long as its lease. */
  @Test
  void silentMachineIsNotSchedulable() {
    Machine machine = up("host-1");
    job(101);
    loop.pass(3 * 2.2 + 0.1);
    assertEquals(0, cluster.view().schedulableMachines().size());
    cluster.place(TASK, machine.id());
    assertTrue(placeable());
    up("host-1");
    assertEquals(1, cluster.view().schedulableMachines().size());
  }
}
