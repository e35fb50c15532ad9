package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * Reaps of exited attempts, each with a larger fencing token than the launches of the attempt. They
 * guard against a copy of a launch that starts an attempt that the worker has forgotten.
 */
class AttemptReaperTest extends ClusterTestBase {
  private Machine machine;

  @BeforeEach
  void addMachineAndJob() {
    addJob(101);
    machine = addUpMachine("host-1");
  }

  private static Heartbeat.TaskStatus stopped(long attempt) {
    return taskStatus("wk-1", 0, attempt, TaskState.EXITED, ExitReason.STOPPED);
  }

  /** Launches the task, and reports that it was stopped; returns the number of the attempt. */
  private long launchAndStop() {
    CommandBatch batch = launch(machine);
    long attempt = batch.launches().get(0).number();
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat("host-1", 1, 50 + ++sequence, machine.fencingToken(), stopped(attempt)));
    return attempt;
  }

  private List<Command.Action> response() {
    return actions(cluster.responseCommands(machine));
  }

  @Test
  void reapIsSentWithLargerTokenThanTheLaunch() {
    launchAndStop();
    assertEquals(TERM, machine.fencingToken());
    assertEquals(List.of(Command.Action.REAP), response());
    assertEquals(TERM + 1, machine.fencingToken());
  }

  @Test
  void reapIsRepeatedWithoutRaisingTheTokenAgain() {
    launchAndStop();
    response();
    assertEquals(List.of(Command.Action.REAP), response());
    assertEquals(TERM + 1, machine.fencingToken());
  }

  @Test
  void attemptThatWasLaunchedWithARaisedTokenNeedsALargerOne() {
    launchAndStop();
    response();
    cluster.heartbeatReceived(heartbeat("host-1", 1, 60 + ++sequence, TERM + 1));
    CommandBatch batch = launch(machine);
    assertEquals(TERM + 1, batch.fencingToken());
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat(
            "host-1", 1, 70 + ++sequence, TERM + 1, stopped(batch.launches().get(0).number())));
    assertEquals(List.of(Command.Action.REAP), response());
    assertEquals(TERM + 2, machine.fencingToken());
  }

  /** A direct command that is in flight would arrive after the larger token, and be rejected. */
  @Test
  void tokenIsNotRaisedWhileADirectCommandIsInFlight() {
    CommandBatch first = launch(machine);
    long attempt = first.launches().get(0).number();
    cluster.batchCompleted(
        first,
        DeliveryOutcome.EXECUTED,
        heartbeat(
            "host-1",
            1,
            50 + ++sequence,
            TERM,
            taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE)));
    cluster.addJob(
        TestData.job("wk-2", "red", Priority.STANDARD, 1, 4),
        TERM_VERSION + 2,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    cluster.place(new TaskId("wk-2", 0), "host-1");
    CommandBatch batch = nextBatch(machine);
    assertEquals(List.of(Command.Action.LAUNCH), actions(batch.commands()));
    assertEquals(TERM, batch.fencingToken());
    cluster.heartbeatReceived(heartbeat("host-1", 1, 50 + ++sequence, TERM, stopped(attempt)));
    assertEquals(List.of(), response());
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    assertTrue(response().contains(Command.Action.REAP));
    assertEquals(TERM + 1, machine.fencingToken());
  }

  /** The state service is unavailable, for example. */
  @Test
  void attemptIsNotReapedUntilALargerTokenIsReserved() {
    machine.delivery().raiseFencingToken(tokens.lastReserved());
    launchAndStop();
    assertEquals(List.of(), response());
    assertTrue(tokens.isReservationDue());
    tokens.reservedUpTo(tokens.lastReserved() + 1);
    assertEquals(List.of(Command.Action.REAP), response());
  }

  /** The machine has seen this term's first token, which is larger than the earlier ones. */
  @Test
  void attemptOfAnEarlierTermIsReapedWithTheFirstToken() {
    cluster.heartbeatReceived(heartbeat("host-1", 1, 60, TERM, stopped(7)));
    assertEquals(List.of(Command.Action.REAP), response());
    assertEquals(TERM, machine.fencingToken());
  }

  /** This leader launched the attempt with a token that it does not know any more. */
  @Test
  void forgottenAttemptOfThisTermIsReapedWithARaisedToken() {
    cluster.heartbeatReceived(heartbeat("host-1", 1, 60, TERM, stopped((TERM << 24) + 9)));
    assertEquals(List.of(Command.Action.REAP), response());
    assertEquals(TERM + 1, machine.fencingToken());
  }

  /** A smaller token would be rejected by the worker. */
  @Test
  void messagesHaveAtLeastTheTokenThatTheWorkerHasSeen() {
    cluster.heartbeatReceived(heartbeat("host-1", 1, 60, TERM + 3));
    assertEquals(TERM + 3, launch(machine).fencingToken());
  }
}
