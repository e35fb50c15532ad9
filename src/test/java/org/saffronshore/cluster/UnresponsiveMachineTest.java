package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;

/** Machines whose heartbeats arrive, and that receive nothing of what they are sent. */
class UnresponsiveMachineTest extends ClusterTestBase {
  private CommandBatch lostLaunch(Machine machine) {
    CommandBatch batch = launch(machine);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    return batch;
  }

  /**
   * Heartbeats, epochs and responses to commands of a machine, and whether it still gets tasks or
   * is returned.
   */
  @ParameterizedTest
  @CsvSource({
    "epoch rises although its lease was renewed, false, true",
    "epoch rises after a silence, true, false",
    "launch is never seen, false, true",
    "launch is seen, true, false",
    "epoch rises and a status is received, true, false"
  })
  void unresponsiveMachineIsNotSchedulableAndIsReturned(
      String what, boolean usable, boolean returned) {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    long epoch = 1;
    if (what.startsWith("launch")) {
      CommandBatch batch = lostLaunch(machine);
      if (what.endsWith("is seen")) {
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
      loop.pass(what.contains("silence") ? TestData.LEASE_S + 1 : 3);
    }
    for (int i = 0; i < 9; i++) {
      if (machine.taskCount() == 0 || !what.equals("launch is seen")) {
        cluster.heartbeatReceived(heartbeat("host-1", epoch, ++sequence, TERM));
      } else {
        machine.health().countSilenceFrom(loop.now());
      }
      cluster.unresponsiveMachines().detect();
      if (what.endsWith("is received")) {
        cluster.batchCompleted(
            new CommandBatch(machine, 2, List.of(), List.of()),
            DeliveryOutcome.EXECUTED,
            heartbeat("host-1", 2, ++sequence, TERM));
      }
      loop.pass(3);
    }
    assertEquals(usable, machine.isSchedulable(loop.now()));
    assertEquals(returned, cluster.unresponsiveMachines().isUnusable(machine));
  }

  /**
   * Nothing was received for a while because this controller paused: hundreds of machines must not
   * count as silent or unresponsive for it.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void pauseOfThisControllerMakesNoMachineSilentOrUnresponsive(
      boolean pauseDetected, boolean usable) {
    addJob(101);
    Machine machine = addUpMachine("host-1");
    Machine other = addUpMachine("host-2");
    CommandBatch batch = launch(other);
    cluster.batchCompleted(batch, DeliveryOutcome.UNKNOWN, null);
    loop.standStill(10);
    if (pauseDetected) {
      cluster.onProcessPause();
    }
    cluster.registry().cordonSilent();
    assertEquals(usable, machine.isSchedulable(loop.now()));
    assertEquals(usable, cluster.registry().takeCordonedMachines().isEmpty());
    other.health().countSilenceFrom(loop.now());
    cluster.unresponsiveMachines().detect();
    assertEquals(
        !usable,
        other.health().isUnresponsive(),
        "it had no chance to show that it received the launch");
    loop.pass(TestData.LEASE_S - 9);
    cluster.expireLeases();
    assertEquals(0, other.taskCount(), "its lease counts from its last renewal");
  }

  /**
   * It never shows the new term's token; older jobs wait for it only until the cloud has taken it
   * back.
   */
  @Test
  void olderJobWaitsForMachineThatNeverReconcilesUntilItIsRemoved() {
    cluster.addRegistered("host-1", 60, null);
    addJob(1);
    for (int i = 0; i < 8; i++) {
      cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM - 1));
      cluster.unresponsiveMachines().detect();
      loop.pass(3);
    }
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM - 1));
    assertFalse(
        hasPlaceableJob(),
        "a launch of an earlier leader, which knew this epoch, may still arrive");
    assertTrue(cluster.unresponsiveMachines().isUnusable(machine("host-1")));
    cluster.machineRemoved(machine("host-1"), "returned");
    assertTrue(hasPlaceableJob());
  }

  /**
   * In the term that launched it, the next epoch of an unresponsive machine is proof that the task
   * is not there.
   */
  @Test
  void newEpochOfUnresponsiveMachineFreesItsLaunchedTasks() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    lostLaunch(machine);
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM));
    assertFalse(hasPlaceableJob(), "the launch may yet arrive");
    cluster.heartbeatReceived(heartbeat("host-1", 2, ++sequence, TERM));
    assertTrue(hasPlaceableJob());
    assertFalse(machine.isSchedulable(loop.now()), "but not there");
  }

  /** When most machines seem unresponsive, it is this controller that cannot be heard. */
  @Test
  void noMachineIsUnusableWhenManySeemUnresponsive() {
    List<Machine> all = new java.util.ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(addUpMachine("host-" + i));
    }
    for (Machine machine : all) {
      cluster.heartbeatReceived(heartbeat(machine.id(), 2, ++sequence, TERM));
    }
    loop.pass(7);
    assertTrue(all.stream().noneMatch(cluster.unresponsiveMachines()::isUnusable));
  }
}
