package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.report;
import static org.saffronshore.TestData.task;

import java.util.BitSet;
import java.util.List;
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

/** Launches whose delivery is in doubt, and to whom nothing new is launched. */
class LaunchTest extends ClusterTestBase {
  /** What became of the launch: executed, certainly not, or nobody knows. */
  @ParameterizedTest
  @CsvSource({"true, false, false", "false, true, true", "false, false, false"})
  void aLaunchThatMayArriveHoldsItsTask(boolean executed, boolean surelyNot, boolean placeable) {
    job(101);
    Machine m = up("host-1");
    CommandBatch call = launch(m);
    assertEquals(List.of(Command.Action.LAUNCH), ops(call.commands()));
    Heartbeat answer =
        executed
            ? report(
                "host-1",
                1,
                50,
                TERM,
                task(
                    "wk-1",
                    0,
                    call.launches().get(0).number(),
                    TaskState.PULLING_IMAGE,
                    ExitReason.NONE))
            : surelyNot ? report("host-1", 1, 50, TERM) : null;
    cluster.batchCompleted(call, executed, surelyNot, answer);
    assertEquals(placeable, placeable());
    cluster.heartbeatReceived(
        report(
            "host-1",
            1,
            51,
            TERM,
            executed
                ? answer.tasks().toArray(new Heartbeat.TaskStatus[0])
                : new Heartbeat.TaskStatus[0]));
    assertEquals(
        placeable,
        placeable(),
        "a report without the task proves nothing while the launch is on its way");
  }

  @Test
  void aNewerSessionEndsAnUnansweredLaunch() {
    job(101);
    Machine m = up("host-1");
    cluster.batchCompleted(launch(m), false, false, null);
    cluster.heartbeatReceived(report("host-1", 2, 60, TERM));
    assertTrue(placeable());
  }

  /**
   * A lost launch is repeated with a stop behind it, so that the late copy finds an attempt that is
   * over.
   */
  @Test
  void aLostLaunchIsEndedByRepeatingIt() {
    job(101);
    Machine m = up("host-1");
    CommandBatch call = launch(m);
    cluster.batchCompleted(call, false, false, null);
    cluster.removeJob("wk-1");
    loop.pass(5);
    assertEquals(
        List.of(Command.Action.LAUNCH, Command.Action.STOP), ops(cluster.responseCommands(m)));
  }

  @Test
  void anAttemptIsNotForgottenWhileItsLaunchMayArrive() {
    job(101);
    Machine m = up("host-1");
    CommandBatch call = launch(m);
    cluster.batchCompleted(call, false, false, null);
    Heartbeat.TaskStatus ended =
        task("wk-1", 0, call.launches().get(0).number(), TaskState.EXITED, ExitReason.FAILED);
    cluster.heartbeatReceived(report("host-1", 1, 50, TERM, ended));
    assertTrue(placeable(), "it is over there");
    assertFalse(ops(cluster.responseCommands(m)).contains(Command.Action.REAP));
    assertTrue(m.hasTraceOf(TASK), "and must go elsewhere");
  }

  /**
   * The one task with which a job gets going that had waited for very long is not stopped for a
   * higher class.
   */
  @ParameterizedTest
  @CsvSource({"false, 1", "true, 0"})
  void whatGotGoingAtLastIsNotStopped(boolean overdue, int stops) {
    Machine m = up("host-1");
    cluster.addJob(
        TestData.job("wk-1", "free", Priority.STANDARD, 1, 32),
        101,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    cluster.place(TASK, m.id(), overdue);
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
  void aSilentMachineGetsNothingNew() {
    Machine m = up("host-1");
    job(101);
    loop.pass(3 * 2.2 + 0.1);
    assertEquals(0, cluster.view().hosts().size());
    cluster.place(TASK, m.id());
    assertTrue(placeable());
    up("host-1");
    assertEquals(1, cluster.view().hosts().size());
  }
}
