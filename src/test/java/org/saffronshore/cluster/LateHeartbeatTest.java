package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;

/** Heartbeats that arrive late, or again. */
class LateHeartbeatTest extends ClusterTestBase {
  /**
   * Epoch, sequence and shown state of a copy that must not change a task which runs on host-1 in
   * epoch 2 of this term.
   */
  @ParameterizedTest
  @CsvSource({"2, 5, EXITED", "2, 5, none", "1, 90, none", "1, 90, RUNNING", "2, 9, none"})
  void lateCopyOfHeartbeatDoesNotChangeRunningTask(long epoch, long sequenceNumber, String shows) {
    cluster.heartbeatReceived(heartbeat("host-1", 2, 1, TERM));
    Machine machine = machine("host-1");
    cluster.registry().markRegistered(List.of(machine));
    job(101);
    long attempt = launch(machine).launches().get(0).number();
    Heartbeat.TaskStatus running =
        taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(
        new Heartbeat(
            "host-1", "10.1.0.1:9000", "big", "a", true, 2, 9, TERM, 60.0, List.of(running)));
    Heartbeat copy =
        shows.equals("none")
            ? heartbeat("host-1", epoch, sequenceNumber, TERM)
            : heartbeat(
                "host-1",
                epoch,
                sequenceNumber,
                TERM,
                taskStatus("wk-1", 0, attempt, TaskState.valueOf(shows), ExitReason.FAILED));
    cluster.heartbeatReceived(copy);
    assertEquals(1, openJob("wk-1").runningTaskCount());
    assertFalse(placeable());
    assertEquals(2, machine.epochs().epoch());
    assertTrue(machine.hasPreemptionNotice(), "a notice is not undone");
  }

  /** Copies hold what a lost machine had for a lease from its last true word, and no longer. */
  @Test
  void copiesOfHeartbeatDoNotExtendTheLeaseOfLostMachine() {
    Machine machine = up("host-1");
    job(101);
    long attempt = launch(machine).launches().get(0).number();
    Heartbeat last =
        heartbeat(
            "host-1",
            1,
            50,
            TERM,
            taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE));
    cluster.heartbeatReceived(last);
    for (int i = 0; i < (int) TestData.LEASE_S; i++) {
      loop.advance(1);
      cluster.heartbeatReceived(last);
      cluster.expireLeases();
      assertFalse(placeable(), "its lease may run");
    }
    loop.advance(1);
    cluster.heartbeatReceived(last);
    cluster.expireLeases();
    assertTrue(placeable());
    cluster.heartbeatReceived(last);
    assertTrue(placeable(), "a copy over a lease old brings nothing back");
    assertFalse(machine.isSchedulable(loop.now()));
    assertEquals(0, cluster.view().schedulableMachines().size());
  }

  /**
   * The response to a late heartbeat may still arrive in time, and so renews the lease from when it
   * was sent.
   */
  @Test
  void lateHeartbeatRenewsTheLeaseFromWhenItWasSent() {
    Machine machine = up("host-1");
    job(101);
    CommandBatch batch = launch(machine);
    loop.advance(TestData.LEASE_S - 1);
    Heartbeat.TaskStatus running =
        taskStatus("wk-1", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE);
    cluster.batchCompleted(
        batch, DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, 60, TERM, running));
    loop.advance(2);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 59, TERM));
    cluster.expireLeases();
    assertFalse(placeable());
    loop.advance(TestData.LEASE_S + 1);
    cluster.expireLeases();
    assertTrue(placeable());
  }

  @Test
  void copyOfHeartbeatDoesNotBringRemovedMachineBack() {
    Machine machine = up("host-1");
    cluster.machineRemoved(machine, "returned");
    assertNull(cluster.heartbeatReceived(heartbeat("host-1", 1, 99, TERM)));
    assertNull(cluster.machine("host-1"));
  }

  /**
   * After a failover nothing newer is known: a copy of long ago must not count as free capacity.
   */
  @Test
  void machineKnownByOldHeartbeatOnlyIsNoCapacity() {
    cluster.heartbeatReceived(heartbeat("host-1", 1, 99, TERM - 2));
    assertEquals(0, cluster.view().schedulableMachines().size());
    loop.advance(10);
    assertEquals(
        0,
        cluster.view().machineTimelines(1.6, true).size(),
        "nor is it counted on when machines are rented");
    cluster.removeUnlisted(Set.of(), loop.now() + 20);
    assertNull(cluster.machine("host-1"));
  }

  /** A copy shows a task where it is not any more; it must not be stopped where it truly runs. */
  @Test
  void copyOfHeartbeatDoesNotStopTaskOnReconciledMachine() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    job(1);
    Heartbeat.TaskStatus old = taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE);
    Heartbeat.TaskStatus now = taskStatus("wk-1", 0, 8, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 5, TERM - 1, old));
    cluster.heartbeatReceived(heartbeat("host-2", 1, 1, TERM, now));
    Machine second = machine("host-2");
    assertFalse(second.attempts().iterator().next().isStopping());
    cluster.heartbeatReceived(heartbeat("host-1", 1, 90, TERM));
    assertFalse(placeable(), "it runs on host-2");
    assertEquals(1, openJob("wk-1").runningTaskCount());
  }

  /** What is in two places is stopped in one; and only when it is in neither may it start again. */
  @Test
  void taskOnTwoMachinesIsStoppedOnOneAndPlaceableWhenOnNeither() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    job(1);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1", 1, 5, TERM, taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    cluster.heartbeatReceived(
        heartbeat(
            "host-2", 1, 5, TERM, taskStatus("wk-1", 0, 8, TaskState.RUNNING, ExitReason.NONE)));
    Machine first = machine("host-1");
    Machine second = machine("host-2");
    assertEquals(
        1,
        List.of(first, second).stream()
            .filter(machine -> machine.attempts().iterator().next().isStopping())
            .count());
    cluster.heartbeatReceived(heartbeat("host-1", 1, 6, TERM));
    assertFalse(placeable());
    cluster.heartbeatReceived(heartbeat("host-2", 1, 6, TERM));
    assertTrue(placeable());
  }
}
