package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.saffronshore.TestData.taskStatus;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.QuotaUsage;
import org.saffronshore.wire.Heartbeat;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.MachineKind;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * Tests that heartbeats from earlier terms that arrive late permit nothing that would not be
 * permitted without them, and that nothing waits for what they state. The late heartbeat comes from
 * host-old in zone b; the first task of job wk-1 has moved from there to host-a in zone a.
 */
class OutdatedHeartbeatTest extends ClusterTestBase {
  private static final TaskId SECOND_TASK = new TaskId("wk-1", 1);

  /** What the registry of earlier terms says about the machine of the late heartbeat. */
  private enum RegistryState {
    /** The machine is gone, and its entry was removed. */
    REMOVED,
    MAY_HOLD_ANY_TASK,
    LISTS_THE_TASK,
    LISTS_ANOTHER_TASK,
    /** The entry was read, but the worker's lease must have expired in this term. */
    LEASE_EXPIRED
  }

  /** When the machine that now holds the task shows this term's fencing token. */
  private enum Order {
    LATE_HEARTBEAT_FIRST,
    LATE_HEARTBEAT_LAST
  }

  private static Heartbeat heartbeatIn(
      String zone, String machine, long number, long token, Heartbeat.TaskStatus... tasks) {
    return new Heartbeat(
        machine, "10.1.0.1:9000", "big", zone, true, 1, number, token, null, List.of(tasks));
  }

  private static Heartbeat.TaskStatus running(int index, long attempt) {
    return taskStatus("wk-1", index, attempt, TaskState.RUNNING, ExitReason.NONE);
  }

  private void addJobOfTwoTasks(boolean singleZone, boolean spread, int launchWatermark) {
    JobSpec plain = TestData.job("wk-1", "red", Priority.STANDARD, 2, 4);
    cluster.addJob(
        JobBuilder.copyOf(plain).zoneConstraints(singleZone, spread).build(),
        1,
        0,
        new BitSet(),
        launchWatermark);
  }

  private void addOldMachine(RegistryState state) {
    switch (state) {
      case MAY_HOLD_ANY_TASK -> cluster.addRegistered("host-old", 0, null);
      case LISTS_THE_TASK -> cluster.addRegistered("host-old", 0, Set.of(TASK));
      case LISTS_ANOTHER_TASK ->
          cluster.addRegistered("host-old", 0, Set.of(new TaskId("wk-7", 0)));
      case LEASE_EXPIRED -> {
        cluster.addRegistered("host-old", 0, null);
        loop.advance(TestData.LEASE_S + 1);
        cluster.expireLeases();
      }
      default -> assertEquals(RegistryState.REMOVED, state);
    }
  }

  /** Applies the heartbeat that shows the first task on the machine where it was once. */
  private void receiveLateHeartbeat(long token) {
    cluster.heartbeatReceived(heartbeatIn("b", "host-old", 90, token, running(0, 6)));
  }

  /** Adds a machine that is up, reconciled and registered, and that holds the given tasks. */
  private Machine addMachine(String zone, String id, Heartbeat.TaskStatus... tasks) {
    Machine machine =
        Objects.requireNonNull(
            cluster.heartbeatReceived(heartbeatIn(zone, id, ++sequence, TERM, tasks)));
    cluster.registry().markRegistered(List.of(machine));
    return machine;
  }

  private String plannedPlacements() {
    return plan(teams()).placements().stream()
        .map(placement -> placement.task().index() + " on " + placement.machine())
        .collect(Collectors.joining(", "));
  }

  private QuotaUsage.Amounts usedCpus() {
    return Objects.requireNonNull(teams().get("red")).quotaUsage().cpus();
  }

  static Stream<Arguments> lateHeartbeats() {
    List<Arguments> cases = new ArrayList<>();
    for (RegistryState state : RegistryState.values()) {
      for (Order order : Order.values()) {
        for (long token : new long[] {TERM - 1, TERM - 2}) {
          cases.add(arguments(state, order, token));
        }
      }
    }
    return cases.stream();
  }

  /** Adds the job, the machine of the late heartbeat and the one that holds the task now. */
  private void moveFirstTask(
      RegistryState state, Order order, long token, boolean singleZone, boolean spread) {
    cluster.addRegistered("host-a", 0, null);
    addOldMachine(state);
    addJobOfTwoTasks(singleZone, spread, 1);
    if (order == Order.LATE_HEARTBEAT_FIRST) {
      receiveLateHeartbeat(token);
    }
    addMachine("a", "host-a", running(0, 7));
    if (order == Order.LATE_HEARTBEAT_LAST) {
      receiveLateHeartbeat(token);
    }
  }

  /**
   * Guards against wrong_place: a late heartbeat showed a task of a job that must run in a single
   * zone in a second zone, and another task was started there.
   */
  @ParameterizedTest
  @MethodSource("lateHeartbeats")
  void lateHeartbeatDoesNotAllowASecondZone(RegistryState state, Order order, long token) {
    moveFirstTask(state, order, token, true, false);
    Machine machine = machine("host-a");
    cluster.markReturning(machine);
    addMachine("b", "host-b");
    assertEquals("", plannedPlacements(), "the other task runs in zone a");
    addMachine("a", "host-a2");
    assertEquals("1 on host-a2", plannedPlacements(), "the job waits for no late heartbeat");
  }

  /** A late heartbeat does not use up the share of a zone, so that nothing waits for it. */
  @ParameterizedTest
  @MethodSource("lateHeartbeats")
  void lateHeartbeatDoesNotCountForSpread(RegistryState state, Order order, long token) {
    moveFirstTask(state, order, token, false, true);
    assertEquals("", plannedPlacements(), "zone a has its share of the tasks");
    addMachine("b", "host-b");
    assertEquals("1 on host-b", plannedPlacements());
  }

  /** A late heartbeat adds nothing to the team's share, which decides who may be preempted. */
  @ParameterizedTest
  @MethodSource("lateHeartbeats")
  void lateHeartbeatDoesNotCountForTheTeam(RegistryState state, Order order, long token) {
    moveFirstTask(state, order, token, false, false);
    assertEquals(4, usedCpus().launched());
    assertEquals(4, usedCpus().running());
    assertEquals(0, usedCpus().possible());
  }

  /** Neither of the two attempts is stopped, and the one that ran last is the one that counts. */
  @ParameterizedTest
  @MethodSource("lateHeartbeats")
  void lateHeartbeatStopsNoAttemptAndHoldsNoTask(RegistryState state, Order order, long token) {
    moveFirstTask(state, order, token, false, false);
    Attempt current = machine("host-a").attempts().iterator().next();
    assertFalse(current.isStopping());
    assertEquals(1, openJob("wk-1").runningTaskCount());
    assertTrue(openJob("wk-1").duplicateAttempts().isEmpty());
    assertTrue(machine("host-old").isEmpty());
    cluster.heartbeatReceived(heartbeatIn("a", "host-a", ++sequence, TERM));
    assertTrue(openJob("wk-1").isWaiting(0), "the task has ended where it was");
  }

  /**
   * A task that runs nowhere waits for a late heartbeat only if the registry says that it may be
   * where the heartbeat shows it.
   */
  @ParameterizedTest
  @CsvSource({
    "REMOVED, true",
    "MAY_HOLD_ANY_TASK, false",
    "LISTS_THE_TASK, false",
    "LISTS_ANOTHER_TASK, true",
    "LEASE_EXPIRED, true"
  })
  void taskWaitsForLateHeartbeatOnlyIfTheRegistryConfirmsIt(
      RegistryState state, boolean placeable) {
    addOldMachine(state);
    addJob(1);
    receiveLateHeartbeat(TERM - 1);
    assertEquals(placeable, hasPlaceableJob());
    loop.advance(TestData.LEASE_S + 1);
    cluster.expireLeases();
    assertTrue(hasPlaceableJob(), "nothing waits for longer than a lease");
    addMachine("a", "host-a");
    assertEquals("0 on host-a", plannedPlacements());
  }

  /** What the registry lists still counts while a late heartbeat shows it on another machine. */
  @ParameterizedTest
  @EnumSource(
      value = RegistryState.class,
      names = {"REMOVED", "LISTS_ANOTHER_TASK", "LEASE_EXPIRED"})
  void possibleTaskCountsWhereTheRegistryListsIt(RegistryState state) {
    addOldMachine(state);
    cluster.addRegistered("host-1", 0, Set.of(TASK));
    addJob(1);
    receiveLateHeartbeat(TERM - 1);
    assertFalse(hasPlaceableJob(), "the task may be on host-1");
    assertEquals(0, usedCpus().launched());
    assertEquals(4, usedCpus().possible());
  }

  /** A completion is never outdated: the task need not run again. */
  @ParameterizedTest
  @EnumSource
  void completionInLateHeartbeatCounts(RegistryState state) {
    addOldMachine(state);
    addJobOfTwoTasks(false, false, 1);
    Heartbeat.TaskStatus completed =
        taskStatus("wk-1", 0, 6, TaskState.EXITED, ExitReason.COMPLETED);
    cluster.heartbeatReceived(heartbeatIn("b", "host-old", 90, TERM - 1, completed));
    assertTrue(openJob("wk-1").isFinished(0));
    assertFalse(openJob("wk-1").isFinished(1));
  }

  /** A job becomes ready by the stored outcomes of its dependencies, not by any heartbeat. */
  @Test
  void completionInLateHeartbeatDoesNotMakeDependentJobReady() {
    addJob(1);
    JobSpec dependent =
        TestData.job("wk-2", "red", Priority.STANDARD, 1, 4).withDependencies(List.of("wk-1"));
    cluster.addJob(dependent, 2, 0, new BitSet(), 0);
    Heartbeat.TaskStatus completed =
        taskStatus("wk-1", 0, 6, TaskState.EXITED, ExitReason.COMPLETED);
    cluster.heartbeatReceived(heartbeatIn("b", "host-old", 90, TERM - 1, completed));
    assertFalse(hasPlaceableJob());
    cluster.jobEnded("wk-1", true, 0);
    assertTrue(hasPlaceableJob());
  }

  /** Another exit in a late heartbeat changes nothing for a task that runs elsewhere. */
  @ParameterizedTest
  @EnumSource(
      value = ExitReason.class,
      names = {"FAILED", "STOPPED", "ALREADY_RUNNING", "INSUFFICIENT_RESOURCES"})
  void exitInLateHeartbeatDoesNotEndTheTaskElsewhere(ExitReason reason) {
    moveFirstTask(RegistryState.REMOVED, Order.LATE_HEARTBEAT_LAST, TERM - 1, true, false);
    Heartbeat.TaskStatus exited = taskStatus("wk-1", 0, 6, TaskState.EXITED, reason);
    cluster.heartbeatReceived(heartbeatIn("b", "host-old", 91, TERM - 1, exited));
    assertFalse(openJob("wk-1").isWaiting(0));
    assertFalse(openJob("wk-1").isInBackoff(loop.now()));
    assertEquals(1, openJob("wk-1").runningTaskCount());
  }

  /** In the term in which a machine was removed, none of its late heartbeats is applied. */
  @ParameterizedTest
  @ValueSource(longs = {TERM, TERM - 1})
  void lateHeartbeatOfMachineRemovedInThisTermIsIgnored(long token) {
    addJobOfTwoTasks(true, false, 2);
    Machine removed = addMachine("b", "host-old", running(0, 6));
    cluster.machineRemoved(removed, "not listed by the cloud");
    addMachine("a", "host-a", running(0, 7));
    receiveLateHeartbeat(token);
    cluster.markReturning(machine("host-a"));
    addMachine("b", "host-b");
    assertEquals("", plannedPlacements());
  }

  /**
   * If tasks of a job are really in two zones, no other one starts before only one zone is left.
   */
  @Test
  void jobInTwoZonesStartsNoTaskUntilOneZoneIsLeft() {
    JobSpec plain = TestData.job("wk-1", "red", Priority.STANDARD, 3, 4);
    cluster.addJob(
        JobBuilder.copyOf(plain).zoneConstraints(true, false).build(), 1, 0, new BitSet(), 3);
    addMachine("a", "host-a", running(0, 7));
    addMachine("b", "host-b", running(1, 8));
    assertEquals("", plannedPlacements());
    Heartbeat.TaskStatus completed =
        taskStatus("wk-1", 1, 8, TaskState.EXITED, ExitReason.COMPLETED);
    addMachine("b", "host-b", completed);
    assertEquals("2 on host-a", plannedPlacements());
  }

  /**
   * Guards against wrong_place within one term: a heartbeat that the network held up arrives after
   * the cloud has listed its machine as failed. It restored the tasks that had ended with the
   * machine, and another task was started in their zone.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lateMessageOfFailedMachineIsIgnored(boolean responseToCommand) {
    addJobOfTwoTasks(true, false, 2);
    Machine failed = addMachine("b", "host-old", running(0, 6));
    cluster.machineListed(
        new ListedMachine("host-old", "10.1.0.1:9000", "big", "b", true, true, 90));
    addMachine("a", "host-a", running(0, 7));
    Heartbeat late = heartbeatIn("b", "host-old", 90, TERM, running(0, 6));
    if (responseToCommand) {
      cluster.directStatusReceived(failed, late);
    } else {
      cluster.heartbeatReceived(late);
    }
    assertFalse(machine("host-a").attempts().iterator().next().isStopping());
    cluster.markReturning(machine("host-a"));
    addMachine("b", "host-b");
    assertEquals("", plannedPlacements());
    assertTrue(failed.isEmpty());
    assertNull(cluster.heartbeatReceived(late));
  }

  /**
   * A machine that only a late heartbeat shows is not counted on: neither in forecasts, nor for the
   * share of silent machines by which an isolated leader steps down.
   */
  @ParameterizedTest
  @CsvSource({"false, 0, 0", "true, 90, 0", "true, 5, 1"})
  void machineOfLateHeartbeatIsNoCapacityUnlessItWasJustRented(
      boolean listed, double rentedForS, int timelines) {
    receiveLateHeartbeat(TERM - 1);
    assertFalse(machine("host-old").isExistenceConfirmed());
    if (listed) {
      cluster.machineListed(
          new ListedMachine("host-old", "10.1.0.1:9000", "big", "b", true, false, rentedForS));
    }
    assertEquals(listed, machine("host-old").isExistenceConfirmed());
    assertEquals(timelines, cluster.capacity().machineTimelines(1.6, true).size());
    assertEquals(new MachineKind("big", "b", true), machine("host-old").kind());
  }

  /** A late heartbeat of a machine that the registry names adds no capacity for longer than it. */
  @Test
  void silentMachineOfLateHeartbeatIsNoCapacity() {
    addOldMachine(RegistryState.MAY_HOLD_ANY_TASK);
    receiveLateHeartbeat(TERM - 1);
    assertEquals(1, cluster.capacity().machineTimelines(1.6, true).size());
    loop.advance(10);
    assertEquals(0, cluster.capacity().machineTimelines(1.6, true).size());
  }

  /** Machines that only late heartbeats show do not make most machines silent. */
  @Test
  void machinesOfLateHeartbeatsDoNotCountAsSilent() {
    receiveLateHeartbeat(TERM - 1);
    cluster.heartbeatReceived(heartbeatIn("b", "host-old2", 90, TERM - 1));
    loop.advance(10);
    addMachine("a", "host-a");
    assertFalse(cluster.isMostlySilent(5));
  }

  /** The second task is placed as if the late heartbeat had never arrived. */
  @Test
  void taskShownOnlyByLateHeartbeatMayStartInAnotherZone() {
    addJobOfTwoTasks(true, false, 2);
    receiveLateHeartbeat(TERM - 1);
    addMachine("a", "host-a");
    assertEquals("0 on host-a, 1 on host-a", plannedPlacements());
    assertTrue(cluster.place(SECOND_TASK, "host-a").isPresent());
  }
}
