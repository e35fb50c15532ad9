package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;

/**
 * Tests of machines whose heartbeats arrive but that do not receive what controllers send to them.
 */
class UnresponsiveMachineTest extends ClusterTestBase {
  /** What the controller receives from the machine; its text is the display name of the cases. */
  private enum Scenario {
    EPOCH_RISES_DESPITE_RENEWED_LEASE("epoch rises although the lease was renewed", false, true),
    EPOCH_RISES_AFTER_SILENCE("epoch rises after a silence", true, false),
    LAUNCH_IS_NOT_REPORTED("launch is never reported", false, true),
    LAUNCH_IS_REPORTED("launch is reported", true, false),
    EPOCH_RISES_AND_COMMAND_RESPONSE_IS_RECEIVED(
        "epoch rises and a command response is received", true, false);

    private final String displayName;

    /** Whether the machine still gets tasks afterwards. */
    private final boolean schedulable;

    /** Whether the machine is returned afterwards. */
    private final boolean returned;

    Scenario(String displayName, boolean schedulable, boolean returned) {
      this.displayName = displayName;
      this.schedulable = schedulable;
      this.returned = returned;
    }

    @Override
    public String toString() {
      return displayName;
    }
  }

  private CommandBatch launchWithUnknownDelivery(Machine machine) {
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    return batch;
  }

  @ParameterizedTest
  @EnumSource
  void unresponsiveMachineIsNotSchedulableAndIsReturned(Scenario scenario) {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    long epoch = 1;
    if (scenario == Scenario.LAUNCH_IS_NOT_REPORTED || scenario == Scenario.LAUNCH_IS_REPORTED) {
      CommandBatch batch = launchWithUnknownDelivery(machine);
      if (scenario == Scenario.LAUNCH_IS_REPORTED) {
        cluster.heartbeatReceived(
            heartbeat(
                "host-1",
                1,
                ++sequence,
                TERM,
                taskStatus(
                    "wk-1",
                    0,
                    batch.launches().get(0).number(),
                    TaskState.RUNNING,
                    ExitReason.NONE)));
      }
    } else {
      epoch = 2;
      loop.advance(scenario == Scenario.EPOCH_RISES_AFTER_SILENCE ? TestData.LEASE_S + 1 : 3);
    }
    for (int i = 0; i < 9; i++) {
      if (machine.taskCount() == 0 || scenario != Scenario.LAUNCH_IS_REPORTED) {
        cluster.heartbeatReceived(heartbeat("host-1", epoch, ++sequence, TERM));
      } else {
        machine.health().restartSilenceTimer(loop.now());
      }
      cluster.unresponsiveMachines().detect();
      if (scenario == Scenario.EPOCH_RISES_AND_COMMAND_RESPONSE_IS_RECEIVED) {
        cluster.batchCompleted(
            new CommandBatch(machine, 2, TERM, List.of(), List.of()),
            DeliveryOutcome.EXECUTED,
            heartbeat("host-1", 2, ++sequence, TERM));
      }
      loop.advance(3);
    }
    assertEquals(scenario.schedulable, machine.isSchedulable(loop.now()));
    assertEquals(scenario.returned, cluster.unresponsiveMachines().isUnusable(machine));
  }

  /**
   * This controller received nothing for a while because it paused. When it has detected the pause,
   * it must not treat hundreds of machines as silent or unresponsive because of it.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void controllerPauseDoesNotMakeMachinesSilentOrUnresponsive(
      boolean pauseDetected, boolean schedulable) {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    Machine other = addUpMachine("host-2");
    CommandBatch batch = launch(other);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    loop.pauseProcess(10);
    if (pauseDetected) {
      cluster.onProcessPause();
    }
    cluster.registry().cordonSilentMachines();
    assertEquals(schedulable, machine.isSchedulable(loop.now()));
    assertEquals(schedulable, cluster.registry().takeCordonedMachines().isEmpty());
    other.health().restartSilenceTimer(loop.now());
    cluster.unresponsiveMachines().detect();
    assertEquals(
        !schedulable,
        other.health().isUnresponsive(),
        "during the pause the machine could not show that it had received the launch");
    loop.advance(TestData.LEASE_S - 9);
    cluster.expireLeases();
    assertEquals(
        0,
        other.taskCount(),
        "the lease must be counted from its last renewal, whether or not the controller paused");
  }

  /**
   * A machine never shows the new term's fencing token. Jobs from earlier terms wait for it only
   * until the cloud has taken it back.
   */
  @Test
  void olderJobWaitsForMachineThatNeverReconcilesUntilItIsRemoved() {
    cluster.addRegistered("host-1", 60, null);
    addJob(1);
    for (int i = 0; i < 8; i++) {
      cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM - 1));
      cluster.unresponsiveMachines().detect();
      loop.advance(3);
    }
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM - 1));
    assertFalse(
        hasPlaceableJob(), "a launch by an earlier leader that knew this epoch may still arrive");
    assertTrue(cluster.unresponsiveMachines().isUnusable(machine("host-1")));
    cluster.machineRemoved(machine("host-1"), "returned");
    assertTrue(hasPlaceableJob());
  }

  /**
   * Within the term that launched a task, the next epoch of the unresponsive machine proves that
   * the task is not there.
   */
  @Test
  void newEpochOfUnresponsiveMachineLetsItsLaunchedTasksBePlacedAgain() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    launchWithUnknownDelivery(machine);
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM));
    assertFalse(hasPlaceableJob(), "the launch may still arrive");
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
    assertFalse(machine.isSchedulable(loop.now()), "the machine itself remains unresponsive");
  }

  /** When most machines seem unresponsive, the fault is that this controller cannot reach them. */
  @Test
  void noMachineIsUnusableWhenManySeemUnresponsive() {
    List<Machine> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(addUpMachine("host-" + i));
    }
    for (Machine machine : all) {
      cluster.heartbeatReceived(heartbeat(machine.id(), 2, ++sequence, TERM));
    }
    loop.advance(7);
    assertTrue(all.stream().noneMatch(cluster.unresponsiveMachines()::isUnusable));
  }
}
