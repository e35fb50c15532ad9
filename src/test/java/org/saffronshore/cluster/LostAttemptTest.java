package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * The events after which a leader takes an attempt for ended, one test for each. A copy of a launch
 * that was executed and answered may still start the attempt if its worker has lost it. The tests
 * guard against a task that is placed again before that is ruled out.
 */
class LostAttemptTest extends ClusterTestBase {
  private Machine machine;

  @BeforeEach
  void addMachineAndJob() {
    addJob(TERM_VERSION + 1);
    machine = addUpMachine("host-1");
  }

  private static Heartbeat.TaskStatus running(long attempt) {
    return taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE);
  }

  private static Heartbeat.TaskStatus exited(long attempt, ExitReason reason) {
    return taskStatus("wk-1", 0, attempt, TaskState.EXITED, reason);
  }

  /** Receives a heartbeat of the machine in its first epoch. */
  private void receive(long token, Heartbeat.TaskStatus... statuses) {
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, token, statuses));
  }

  /** Launches the task; the worker's answer shows it as running. Returns the attempt's number. */
  private long launchRunningTask() {
    CommandBatch batch = launch(machine);
    long attempt = batch.launches().get(0).number();
    answer(batch, batch.fencingToken(), running(attempt));
    return attempt;
  }

  /** Receives the worker's answer to a batch that it has executed. */
  private void answer(CommandBatch batch, long token, Heartbeat.TaskStatus... statuses) {
    cluster.batchCompleted(
        batch, DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, ++sequence, token, statuses));
  }

  /** The next direct batch contains no launch or stop, and a larger token than the launch had. */
  private CommandBatch assertFencingBatch() {
    CommandBatch batch = nextBatch(machine);
    assertEquals(List.of(), batch.launches());
    assertEquals(TERM + 1, batch.fencingToken());
    return batch;
  }

  // A newer message of the same epoch

  @Test
  void taskThatNewerHeartbeatDoesNotShowIsPlaceableOnceWorkerConfirmsLargerToken() {
    launchRunningTask();
    receive(TERM);
    assertFalse(hasPlaceableJob(), "a copy of the launch would start the task");
    CommandBatch batch = assertFencingBatch();
    assertFalse(hasPlaceableJob(), "the larger token has not arrived yet");
    answer(batch, TERM + 1);
    assertTrue(hasPlaceableJob());
    assertNull(cluster.nextBatch(machine), "nothing is left to be sent");
  }

  /** The worker may confirm the token in any message. */
  @Test
  void largerTokenInHeartbeatResponseIsConfirmedByNextHeartbeat() {
    launchRunningTask();
    receive(TERM);
    cluster.responseCommands(machine);
    assertEquals(TERM + 1, machine.fencingToken());
    receive(TERM);
    assertFalse(hasPlaceableJob());
    receive(TERM + 1);
    assertTrue(hasPlaceableJob());
  }

  /** The cost of the rule: none for a task whose launch was fenced while it was running. */
  @Test
  void taskWhoseLaunchIsFencedIsPlaceableAtOnce() {
    long attempt = launchRunningTask();
    cluster.responseCommands(machine);
    assertEquals(TERM + 1, machine.fencingToken());
    receive(TERM + 1, running(attempt));
    assertFalse(hasPlaceableJob());
    receive(TERM + 1);
    assertTrue(hasPlaceableJob());
  }

  /** A token is raised once for each launch, not with each heartbeat. */
  @Test
  void tokenIsNotRaisedAgainForRunningTask() {
    long attempt = launchRunningTask();
    for (int i = 0; i < 5; i++) {
      cluster.responseCommands(machine);
      receive(TERM + 1, running(attempt));
    }
    assertEquals(TERM + 1, machine.fencingToken());
  }

  @Test
  void lostAttemptThatCopyStartsAgainStaysOnItsMachine() {
    long attempt = launchRunningTask();
    receive(TERM);
    CommandBatch batch = assertFencingBatch();
    answer(batch, TERM + 1, running(attempt));
    assertFalse(hasPlaceableJob());
    assertEquals(1, openJob("wk-1").runningTaskCount());
    receive(TERM + 1);
    assertTrue(hasPlaceableJob(), "its launch is fenced now");
  }

  @Test
  void lostAttemptThatCopyStartsAgainIsStoppedIfItsJobHasEnded() {
    final long attempt = launchRunningTask();
    receive(TERM);
    cluster.removeJob("wk-1");
    receive(TERM, running(attempt));
    assertEquals(List.of(Command.Action.STOP), actions(nextBatch(machine).commands()));
  }

  @Test
  void lostAttemptCountsForItsTeamUntilItIsFenced() {
    launchRunningTask();
    receive(TERM);
    cluster.removeJob("wk-1");
    assertEquals(4, usedCpus());
    answer(assertFencingBatch(), TERM + 1);
    assertEquals(0, usedCpus());
  }

  private double usedCpus() {
    return Objects.requireNonNull(teams().get("red")).quotaUsage().cpus().counted();
  }

  /** A task of a job that must run in one zone is not placed in another one too early. */
  @Test
  void lostAttemptCountsForItsZoneUntilItIsFenced() {
    cluster.addJob(
        JobBuilder.job("wk-2", "red", Priority.STANDARD)
            .tasks(2)
            .cpus(4)
            .zoneConstraints(true, false)
            .build(),
        TERM_VERSION + 2,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    cluster.place(new TaskId("wk-2", 0), "host-1");
    CommandBatch batch = nextBatch(machine);
    answer(
        batch,
        TERM,
        taskStatus(
            "wk-2", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE));
    receive(TERM);
    cluster.removeJob("wk-1");
    cluster.drain(machine);
    Machine elsewhere = addUpMachineInOtherZone();
    assertEquals("", placedIndexes(plan(teams())));
    answer(assertFencingBatch(), TERM + 1);
    assertEquals("0 1", placedIndexes(plan(teams())));
    assertEquals("b", elsewhere.zone());
  }

  private Machine addUpMachineInOtherZone() {
    Machine other =
        Objects.requireNonNull(
            cluster.heartbeatReceived(
                new Heartbeat(
                    "host-2",
                    "10.1.0.2:9000",
                    "big",
                    "b",
                    true,
                    1,
                    ++sequence,
                    TERM,
                    null,
                    List.of())));
    cluster.registry().markRegistered(List.of(other));
    return other;
  }

  @Test
  void lostAttemptDoesNotOccupyItsMachine() {
    launchRunningTask();
    receive(TERM);
    assertEquals(32, Objects.requireNonNull(cluster.capacity().freeResources(machine)).cpus);
  }

  /** The state service is unavailable, for example. */
  @Test
  void nothingIsSentUntilLargerTokenIsReserved() {
    machine.delivery().raiseFencingToken(tokens.lastReserved());
    launchRunningTask();
    receive(tokens.lastReserved());
    assertNull(cluster.nextBatch(machine));
    assertFalse(hasPlaceableJob());
    tokens.reservedUpTo(tokens.lastReserved() + 1);
    answer(nextBatch(machine), tokens.lastReserved());
    assertTrue(hasPlaceableJob());
  }

  // An exit, which the worker may lose as well

  @ParameterizedTest
  @EnumSource(
      value = ExitReason.class,
      names = {"STOPPED", "FAILED", "INSUFFICIENT_RESOURCES", "ALREADY_RUNNING", "UNKNOWN_TASK"})
  void taskThatExitedIsPlaceableOnceItsLaunchIsFenced(ExitReason reason) {
    long attempt = launchRunningTask();
    receive(TERM, exited(attempt, reason));
    assertFalse(hasPlaceableJob(), "without power, the worker would lose the exited attempt too");
    receive(TERM);
    assertFalse(hasPlaceableJob());
    answer(assertFencingBatch(), TERM + 1);
    assertTrue(hasPlaceableJob());
  }

  @Test
  void exitedAttemptThatCopyStartsAgainStaysOnItsMachine() {
    long attempt = launchRunningTask();
    receive(TERM, exited(attempt, ExitReason.FAILED));
    receive(TERM, running(attempt));
    receive(TERM + 1, running(attempt));
    assertFalse(hasPlaceableJob());
    assertEquals(1, openJob("wk-1").runningTaskCount());
    assertFalse(actions(cluster.responseCommands(machine)).contains(Command.Action.REAP));
  }

  @Test
  void completedTaskCountsForItsTeamUntilItsLaunchIsFenced() {
    long attempt = launchRunningTask();
    receive(TERM, exited(attempt, ExitReason.COMPLETED));
    assertEquals(4, usedCpus());
    assertTrue(openJob("wk-1").isComplete());
    answer(assertFencingBatch(), TERM + 1, exited(attempt, ExitReason.COMPLETED));
    assertEquals(0, usedCpus());
  }

  // The response to a direct command

  @Test
  void taskThatWasLostBeforeTheAnswerToItsLaunchIsPlaceableOnceItsLaunchIsFenced() {
    CommandBatch batch = launch(machine);
    long answerSequence = ++sequence;
    receive(TERM);
    cluster.batchCompleted(
        batch,
        DeliveryOutcome.EXECUTED,
        heartbeat("host-1", 1, answerSequence, TERM, running(batch.launches().get(0).number())));
    assertFalse(hasPlaceableJob(), "the launch was executed, and the task is lost");
    answer(assertFencingBatch(), TERM + 1);
    assertTrue(hasPlaceableJob());
  }

  @Test
  void taskWhoseLaunchWasRejectedIsPlaceableAtOnce() {
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(
        batch, DeliveryOutcome.NOT_EXECUTED, heartbeat("host-1", 1, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
  }

  // Another attempt at the same task on the machine

  @Test
  void attemptThatReplacesAnotherOneInheritsItsLaunches() {
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    receive(TERM, running(7));
    receive(TERM);
    assertFalse(hasPlaceableJob(), "the lost launch may still arrive");
    receive(TERM + 1);
    assertTrue(hasPlaceableJob());
  }

  // New and restarted epochs, leases and machines that are gone

  /** Launches name the epoch, so a worker rejects all copies in the next one. */
  @Test
  void newEpochMakesLostTaskPlaceableAtOnce() {
    launchRunningTask();
    receive(TERM);
    assertFalse(hasPlaceableJob());
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
    assertEquals(0, usedCpus());
  }

  /**
   * A worker that counts its messages anew in the same epoch seems to repeat old heartbeats. The
   * responses to them have a larger token than the launches.
   */
  @Test
  void workerThatRestartsItsEpochIsSentLargerTokenBeforeItsTaskIsPlaceable() {
    sequence = 40;
    launchRunningTask();
    cluster.heartbeatReceived(heartbeat("host-1", 1, 1, 0));
    cluster.responseCommands(machine);
    assertEquals(TERM + 1, machine.fencingToken());
    assertFalse(hasPlaceableJob());
  }

  /** The cost of the rule on a machine that receives nothing: a worker lease. */
  @Test
  void lostTaskOfDeafMachineIsPlaceableInItsNextEpoch() {
    launchRunningTask();
    receive(TERM);
    for (double waitedS = 0; waitedS < TestData.LEASE_S; waitedS += 2) {
      CommandBatch batch = cluster.nextBatch(machine);
      if (batch != null) {
        cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
      }
      loop.advance(2);
      receive(TERM);
      assertFalse(hasPlaceableJob());
    }
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
  }

  /** A machine that goes on after its lease has expired begins a new epoch first. */
  @Test
  void lostTaskOfSilentMachineIsPlaceableWhenItsLeaseHasExpired() {
    launchRunningTask();
    receive(TERM);
    loop.advance(TestData.LEASE_S);
    cluster.expireLeases();
    assertFalse(hasPlaceableJob());
    loop.advance(1);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
    assertEquals(0, usedCpus());
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void lostTaskOfMachineThatIsGoneIsPlaceableAtOnce(boolean failed) {
    launchRunningTask();
    receive(TERM);
    if (failed) {
      cluster.machineListed(
          new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, true, 50));
    } else {
      cluster.machineRemoved(machine, "returned");
    }
    assertTrue(hasPlaceableJob());
    assertEquals(0, usedCpus());
  }

  // Takeover

  /** The machine may hold any task of earlier terms until it confirms this term's token. */
  @Test
  void taskOfEarlierTermThatIsLostIsPlaceableOnceMachineIsReconciled() {
    cluster.addJob(TestData.job("wk-3", "red", Priority.STANDARD, 1, 4), 90, 0, new BitSet(), 1);
    cluster.removeJob("wk-1");
    cluster.addRegistered("host-2", 0, null);
    Heartbeat.TaskStatus status = taskStatus("wk-3", 0, 7, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(heartbeat("host-2", 1, 1, TERM - 1, status));
    cluster.heartbeatReceived(heartbeat("host-2", 1, 2, TERM - 1));
    assertFalse(hasPlaceableJob(), "a copy of the launch would start the task");
    cluster.heartbeatReceived(heartbeat("host-2", 1, 3, TERM));
    assertTrue(hasPlaceableJob());
  }
}
