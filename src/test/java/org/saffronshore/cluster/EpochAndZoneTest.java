package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Tests of epochs, zone constraints and backoffs when several faults coincide. */
class EpochAndZoneTest extends ClusterTestBase {
  /**
   * A machine cannot reach any controller. The new leader sends it a command, and it responds from
   * an epoch that began a moment ago because the lease of the previous epoch had expired. The new
   * epoch has a full lease of its own, whenever the previous lease was renewed, so tasks must not
   * be placed elsewhere before it has expired.
   */
  @ParameterizedTest
  @CsvSource({"0.5, false", "1.1, true"})
  void epochLearnedFromCommandResponseHasAFullLease(double leasesLater, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    cluster.machineListed(
        new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, false, 90));
    Machine machine = machine("host-1");
    cluster.batchCompleted(
        nextBatch(machine), DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, ++sequence, TERM));
    cluster.registry().markRegistered(List.of(machine));
    addJob(TERM_VERSION + 1);
    loop.advance(TestData.LEASE_S * 0.7);
    cluster.directStatusReceived(
        machine,
        heartbeat(
            "host-1",
            2,
            ++sequence,
            TERM,
            taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertFalse(hasPlaceableJob());
    loop.advance(TestData.LEASE_S * leasesLater);
    cluster.expireLeases();
    assertEquals(placeable, hasPlaceableJob());
  }

  /**
   * Responses to commands do not show that a worker can reach this controller. Without heartbeats
   * its lease expires, and tasks that were placed on it would end with the lease.
   */
  @Test
  void machineThatOnlyRespondsToCommandsIsNotSchedulable() {
    Machine machine = addUpMachine("host-1");
    for (int i = 0; i < 6; i++) {
      loop.advance(TestData.settings().heartbeatIntervalS() / 2);
      cluster.directStatusReceived(machine, heartbeat("host-1", 1, ++sequence, TERM));
    }
    assertTrue(cluster.view().schedulableMachines().isEmpty());
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM));
    assertEquals(1, cluster.view().schedulableMachines().size());
  }

  /**
   * A task on an unreconciled machine may be in any zone, so no zone can be chosen for the other
   * tasks of a job with a zone constraint.
   */
  @ParameterizedTest
  @CsvSource({"false, false, true", "true, false, false", "false, true, false"})
  void jobWithZoneConstraintWaitsForUnreconciledMachinesThatMayRunIt(
      boolean oneZone, boolean spread, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    addUpMachine("host-2");
    addJobWithZoneConstraint(oneZone, spread, 2);
    assertEquals(placeable, hasPlaceableJob(), "the last two tasks of the job were never launched");
    loop.advance(TestData.LEASE_S * 1.1);
    addUpMachine("host-2");
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
  }

  /**
   * An old heartbeat of an unreconciled machine reports a task that may be on another machine by
   * now, so it does not prove in which zone the job is.
   */
  @ParameterizedTest
  @CsvSource({
    "false, '', true",
    "true, '', false",
    "true, wk-1/0, false",
    "true, wk-2/0, false",
  })
  void heartbeatOfUnreconciledMachineDoesNotProveTheZoneOfItsTask(
      boolean oneZone, String possibleTaskOnThird, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    Set<TaskId> possibleTasks =
        possibleTaskOnThird.isEmpty()
            ? null
            : Set.of(new TaskId(possibleTaskOnThird.substring(0, 4), 0));
    cluster.addRegistered("host-3", 90, possibleTasks);
    addUpMachine("host-2");
    addJobWithZoneConstraint(oneZone, false, 1);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            ++sequence,
            TERM - 1,
            taskStatus("wk-1", 0, 6, TaskState.RUNNING, ExitReason.NONE)));
    assertEquals(placeable, hasPlaceableJob(), "the other tasks of the job were never launched");
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            ++sequence,
            TERM,
            taskStatus("wk-1", 0, 6, TaskState.RUNNING, ExitReason.NONE)));
    assertTrue(hasPlaceableJob(), "the task is on host-1, and so on no other machine");
  }

  private void addJobWithZoneConstraint(boolean oneZone, boolean spread, int launchWatermark) {
    JobSpec plain = TestData.job("wk-1", "red", Priority.STANDARD, 4, 4);
    cluster.addJob(
        JobBuilder.copyOf(plain).zoneConstraints(oneZone, spread).build(),
        1,
        0,
        new BitSet(),
        launchWatermark);
  }

  /**
   * While machines fail every task that they start, sound jobs accumulate failures. Once the
   * machines work again, such a job must not stay in backoff for longer than a lease.
   */
  @Test
  void jobBackoffIsNeverLongerThanALease() {
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 40, 1),
        TERM_VERSION + 1,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
    for (int i = 0; i < 20; i++) {
      addUpMachine("host-" + i);
      cluster.heartbeatReceived(
          heartbeat(
              "host-" + i,
              1,
              ++sequence,
              TERM,
              taskStatus("wk-1", i, 7, TaskState.RUNNING, ExitReason.NONE)));
      cluster.heartbeatReceived(
          heartbeat(
              "host-" + i,
              1,
              ++sequence,
              TERM,
              taskStatus("wk-1", i, 7, TaskState.EXITED, ExitReason.FAILED)));
    }
    assertFalse(hasPlaceableJob());
    loop.advance(TestData.LEASE_S + 0.1);
    assertTrue(hasPlaceableJob());
  }
}
