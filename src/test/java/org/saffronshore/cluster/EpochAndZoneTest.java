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

/** Epochs, zones and backoffs when several faults meet. */
class EpochAndZoneTest extends ClusterTestBase {
  /**
   * A machine that reaches no controller is sent a command by the new leader, and responds from an
   * epoch that began a moment ago, when the last one's lease had expired. The new epoch's lease is
   * as long again, whenever the last one was renewed.
   */
  @ParameterizedTest
  @CsvSource({"0.5, false", "1.1, true"})
  void epochFoundByDirectCommandHasAWholeLease(double leasesLater, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    cluster.machineListed(
        new ListedMachine("host-1", "10.1.0.1:9000", "big", "a", true, false, 90));
    Machine machine = machine("host-1");
    cluster.batchCompleted(
        nextBatch(machine), DeliveryOutcome.EXECUTED, heartbeat("host-1", 1, ++sequence, TERM));
    cluster.registry().markRegistered(List.of(machine));
    addJob(TERM_VERSION + 1);
    loop.pass(TestData.LEASE_S * 0.7);
    cluster.directStatusReceived(
        machine,
        heartbeat(
            "host-1",
            2,
            ++sequence,
            TERM,
            taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
    assertFalse(hasPlaceableJob());
    loop.pass(TestData.LEASE_S * leasesLater);
    cluster.expireLeases();
    assertEquals(placeable, hasPlaceableJob());
  }

  /**
   * Responses to commands say nothing of whether a worker reaches us: what it is given would end
   * with its lease.
   */
  @Test
  void machineThatOnlyRespondsToCommandsIsNotSchedulable() {
    Machine machine = addUpMachine("host-1");
    for (int i = 0; i < 6; i++) {
      loop.pass(TestData.settings().heartbeatIntervalS() / 2);
      cluster.directStatusReceived(machine, heartbeat("host-1", 1, ++sequence, TERM));
    }
    assertTrue(cluster.view().schedulableMachines().isEmpty());
    cluster.heartbeatReceived(heartbeat("host-1", 1, ++sequence, TERM));
    assertEquals(1, cluster.view().schedulableMachines().size());
  }

  /**
   * A task on a machine that is not reconciled may be in any zone: the others cannot choose theirs.
   */
  @ParameterizedTest
  @CsvSource({"false, false, true", "true, false, false", "false, true, false"})
  void jobWithZoneConstraintWaitsForUnreconciledMachinesThatMayRunIt(
      boolean oneZone, boolean spread, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    addUpMachine("host-2");
    boundToZones(oneZone, spread, 2);
    assertEquals(placeable, hasPlaceableJob(), "its last two tasks were never launched");
    loop.pass(TestData.LEASE_S * 1.1);
    addUpMachine("host-2");
    cluster.expireLeases();
    assertTrue(hasPlaceableJob());
  }

  /**
   * An old heartbeat of an unreconciled machine shows a task that may be elsewhere by now: it does
   * not tell the job's zone.
   */
  @ParameterizedTest
  @CsvSource({
    "false, '', true",
    "true, '', false",
    "true, wk-1/0, false",
    "true, wk-2/0, false",
  })
  void heartbeatOfUnreconciledMachineDoesNotTellTheZoneOfItsTask(
      boolean oneZone, String possibleOnThird, boolean placeable) {
    cluster.addRegistered("host-1", 90, null);
    Set<TaskId> possibleTasks =
        possibleOnThird.isEmpty() ? null : Set.of(new TaskId(possibleOnThird.substring(0, 4), 0));
    cluster.addRegistered("host-3", 90, possibleTasks);
    addUpMachine("host-2");
    boundToZones(oneZone, false, 1);
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            ++sequence,
            TERM - 1,
            taskStatus("wk-1", 0, 6, TaskState.RUNNING, ExitReason.NONE)));
    assertEquals(placeable, hasPlaceableJob(), "its other tasks were never launched");
    cluster.heartbeatReceived(
        heartbeat(
            "host-1",
            1,
            ++sequence,
            TERM,
            taskStatus("wk-1", 0, 6, TaskState.RUNNING, ExitReason.NONE)));
    assertTrue(hasPlaceableJob(), "the task is there, and so nowhere else");
  }

  private void boundToZones(boolean oneZone, boolean spread, int launchWatermark) {
    JobSpec plain = TestData.job("wk-1", "red", Priority.STANDARD, 4, 4);
    cluster.addJob(
        JobBuilder.copyOf(plain).zoneConstraints(oneZone, spread).build(),
        1,
        0,
        new BitSet(),
        launchWatermark);
  }

  /**
   * While machines fail all they start, good jobs look bad. Once that is over they must not wait
   * for long.
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
    loop.pass(TestData.LEASE_S + 0.1);
    assertTrue(hasPlaceableJob());
  }
}
