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

/** Tests heartbeats that arrive late or more than once. */
class LateHeartbeatTest extends ClusterTestBase {
  /**
   * A late copy of a heartbeat must not change a task that runs on host-1 in epoch 2. The
   * parameters are the epoch, the sequence and the shown task state of the copy.
   */
  @ParameterizedTest
  @CsvSource({"2, 5, EXITED", "2, 5, none", "1, 90, none", "1, 90, RUNNING", "2, 9, none"})
  void lateCopyOfHeartbeatDoesNotChangeRunningTask(
      long epoch, long sequenceNumber, String shownState) {
    cluster.heartbeatReceived(heartbeat("host-1", 2, 1, TERM));
    Machine machine = machine("host-1");
    cluster.registry().markRegistered(List.of(machine));
    addJob(101);
    long attempt = launch(machine).launches().get(0).number();
    Heartbeat.TaskStatus running =
        taskStatus("wk-1", 0, attempt, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(
        new Heartbeat(
            "host-1", "10.1.0.1:9000", "big", "a", true, 2, 9, TERM, 60.0, List.of(running)));
    Heartbeat copy =
        shownState.equals("none")
            ? heartbeat("host-1", epoch, sequenceNumber, TERM)
            : heartbeat(
                "host-1",
                epoch,
                sequenceNumber,
                TERM,
                taskStatus("wk-1", 0, attempt, TaskState.valueOf(shownState), ExitReason.FAILED));
    cluster.heartbeatReceived(copy);
    assertEquals(1, openJob("wk-1").runningTaskCount());
    assertFalse(hasPlaceableJob());
    assertEquals(2, machine.epochs().epoch());
    assertTrue(machine.hasPreemptionNotice(), "a preemption notice is never revoked");
  }

  /**
   * Guards against copies of the last heartbeat of a lost machine that keep the machine up, so that
   * its tasks are never placed again. The tasks stay on the machine for one lease after the
   * original heartbeat, and no longer.
   */
  @Test
  void copiesOfHeartbeatDoNotExtendLeaseOfLostMachine() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
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
      assertFalse(hasPlaceableJob(), "the lease may still be valid");
    }
    loop.advance(1);
    cluster.heartbeatReceived(last);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
    cluster.heartbeatReceived(last);
    assertTrue(hasPlaceableJob(), "a copy older than a lease does not restore the task");
    assertFalse(machine.isSchedulable(loop.now()));
    assertEquals(0, cluster.view().schedulableMachines().size());
  }

  /**
   * Guards against a task that is placed again while its worker still holds a lease. The response
   * to a late heartbeat may still arrive in time, in which case the lease is renewed from the time
   * at which the heartbeat was sent.
   */
  @Test
  void lateHeartbeatRenewsLeaseFromSendTime() {
    Machine machine = addUpMachine("host-1");
    addJob(101);
    CommandBatch batch = launch(machine);
    loop.advance(TestData.LEASE_S - 1);
    Heartbeat.TaskStatus running =
        taskStatus("wk-1", 0, batch.launches().get(0).number(), TaskState.RUNNING, ExitReason.NONE);
    cluster.batchCompleted(
        batch, DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, 60, TERM, running));
    loop.advance(2);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 59, TERM));
    cluster.expireLeases();
    assertFalse(hasPlaceableJob());
    loop.advance(TestData.LEASE_S + 1);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
  }

  @Test
  void copyOfHeartbeatDoesNotAddRemovedMachineAgain() {
    Machine machine = addUpMachine("host-1");
    cluster.machineRemoved(machine, "returned");
    assertNull(cluster.heartbeatReceived(heartbeat("host-1", 1, 99, TERM)));
    assertNull(cluster.machine("host-1"));
  }

  /**
   * Guards against an old copy of a heartbeat that counts as free capacity: after a failover, the
   * new leader knows no newer heartbeat of the machine.
   */
  @Test
  void machineKnownOnlyByOldHeartbeatDoesNotCountAsCapacity() {
    cluster.heartbeatReceived(heartbeat("host-1", 1, 99, TERM - 2));
    assertEquals(0, cluster.view().schedulableMachines().size());
    assertEquals(
        0,
        cluster.capacity().machineTimelines(1.6, true).size(),
        "the autoscaler must not rely on the machine either");
    loop.advance(10);
    assertEquals(0, cluster.capacity().machineTimelines(1.6, true).size());
    cluster.removeUnlisted(Set.of(), loop.now() + 20);
    assertNull(cluster.machine("host-1"));
  }

  /**
   * Guards against stopping a running task because a late copy of a heartbeat shows it on a machine
   * where it no longer is.
   */
  @Test
  void copyOfHeartbeatDoesNotStopTaskOnReconciledMachine() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    addJob(1);
    Heartbeat.TaskStatus oldStatus = taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE);
    Heartbeat.TaskStatus currentStatus =
        taskStatus("wk-1", 0, 8, TaskState.RUNNING, ExitReason.NONE);
    cluster.heartbeatReceived(heartbeat("host-1", 1, 5, TERM - 1, oldStatus));
    cluster.heartbeatReceived(heartbeat("host-2", 1, 1, TERM, currentStatus));
    Machine second = machine("host-2");
    assertFalse(second.attempts().iterator().next().isStopping());
    cluster.heartbeatReceived(heartbeat("host-1", 1, 90, TERM));
    assertFalse(hasPlaceableJob(), "the task runs on host-2");
    assertEquals(1, openJob("wk-1").runningTaskCount());
  }

  /**
   * A task that two machines show is stopped on one of them. It may be placed again only when it is
   * on neither.
   */
  @Test
  void taskOnTwoMachinesIsStoppedOnOneAndPlaceableWhenOnNeither() {
    cluster.addRegistered("host-1", 60, null);
    cluster.addRegistered("host-2", 60, null);
    addJob(1);
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
    assertFalse(hasPlaceableJob());
    cluster.heartbeatReceived(heartbeat("host-2", 1, 6, TERM));
    assertTrue(hasPlaceableJob());
  }
}
