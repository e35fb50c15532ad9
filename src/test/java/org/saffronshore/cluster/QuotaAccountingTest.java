package org.saffronshore.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.saffronshore.TestData.heartbeat;
import static org.saffronshore.TestData.taskStatus;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.saffronshore.TestData;
import org.saffronshore.scheduling.QuotaUsage;
import org.saffronshore.wire.Heartbeat.ExitReason;
import org.saffronshore.wire.Heartbeat.TaskState;
import org.saffronshore.wire.ListedMachine;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/**
 * Tests what counts against a team's limit while machines are unreconciled. Each task uses 4 CPUs
 * and each machine has 32. Jobs wk-1 and wk-2 of team red have two tasks each, of which earlier
 * leaders may have launched only the first.
 */
class QuotaAccountingTest extends ClusterTestBase {
  private static final double LIMIT_CPUS = 64;

  /** Stands for a registry entry that names no tasks, so the machine may hold any task. */
  private static final String ANY_TASK = "any task";

  /** An event after the failover; its text is the display name of the cases. */
  private enum Event {
    NONE("no event"),
    JOB_1_CANCELLED("wk-1 is cancelled"),
    JOB_1_COMPLETED("wk-1 completes"),
    TASK_1_0_COMPLETED("wk-1/0 completes"),
    HOST_1_SHOWS_TASK_1_0("host-1 shows wk-1/0"),
    OLD_HEARTBEAT_OF_HOST_3_SHOWS_TASK_1_0("an old heartbeat of host-3 shows wk-1/0"),
    HOST_3_HOLDS_NO_TASK("host-3 holds no task");

    private final String displayName;

    Event(String displayName) {
      this.displayName = displayName;
    }

    @Override
    public String toString() {
      return displayName;
    }
  }

  /**
   * Adds a machine with a registry entry.
   *
   * @param tasks the tasks that the entry names, separated by spaces, or {@link #ANY_TASK}
   */
  private void addRegistered(String id, String tasks) {
    Set<TaskId> possibleTasks = null;
    if (!tasks.equals(ANY_TASK)) {
      possibleTasks = new HashSet<>();
      for (String name : tasks.split(" ", -1)) {
        possibleTasks.add(new TaskId(name.substring(0, 4), Integer.parseInt(name.substring(5))));
      }
    }
    cluster.addRegistered(id, 0, possibleTasks);
    cluster.machineListed(new ListedMachine(id, null, "big", "a", true, false, 90));
  }

  private QuotaUsage.Amounts countedCpus() {
    return Objects.requireNonNull(teams().get("red")).quotaUsage().cpus();
  }

  private void applyEvent(Event event) {
    switch (event) {
      case JOB_1_CANCELLED -> cluster.removeJob("wk-1");
      case JOB_1_COMPLETED -> {
        for (int i = 0; i < 2; i++) {
          cluster.heartbeatReceived(
              heartbeat(
                  "host-3",
                  1,
                  ++sequence,
                  TERM,
                  taskStatus("wk-1", i, 7, TaskState.EXITED, ExitReason.COMPLETED)));
        }
        cluster.removeJob("wk-1");
      }
      case TASK_1_0_COMPLETED ->
          cluster.heartbeatReceived(
              heartbeat(
                  "host-3",
                  1,
                  ++sequence,
                  TERM,
                  taskStatus("wk-1", 0, 7, TaskState.EXITED, ExitReason.COMPLETED)));
      case HOST_1_SHOWS_TASK_1_0 ->
          cluster.heartbeatReceived(
              heartbeat(
                  "host-1",
                  1,
                  ++sequence,
                  TERM,
                  taskStatus("wk-1", 0, 7, TaskState.RUNNING, ExitReason.NONE)));
      case OLD_HEARTBEAT_OF_HOST_3_SHOWS_TASK_1_0 ->
          cluster.heartbeatReceived(
              heartbeat(
                  "host-3",
                  1,
                  ++sequence,
                  TERM - 1,
                  taskStatus("wk-1", 0, 6, TaskState.RUNNING, ExitReason.NONE)));
      case HOST_3_HOLDS_NO_TASK ->
          cluster.heartbeatReceived(heartbeat("host-3", 1, ++sequence, TERM));
      default -> assertEquals(Event.NONE, event);
    }
  }

  static Stream<Arguments> usageCases() {
    return Stream.of(
        arguments("wk-1/0", "wk-2/0", Event.NONE, 0, 8, 0),
        arguments("wk-1/0", "wk-2/0", Event.JOB_1_CANCELLED, 0, 4, 4),
        arguments("wk-1/0", "wk-2/0", Event.JOB_1_COMPLETED, 0, 4, 0),
        arguments("wk-1/0", "wk-2/0", Event.TASK_1_0_COMPLETED, 0, 4, 0),
        arguments("wk-1/0", "wk-2/0", Event.HOST_1_SHOWS_TASK_1_0, 4, 4, 0),
        // Two registry entries may name the same task; it is on one machine only.
        arguments("wk-1/0", "wk-1/0", Event.NONE, 0, 4, 0),
        // Neither the team nor the size of a job that ended before the term is known.
        arguments("wk-9/0", "wk-2/0", Event.NONE, 0, 4, 32),
        arguments("wk-1/0 wk-9/0", "wk-2/0", Event.NONE, 0, 8, 28),
        // A machine that may hold any task counts in addition to one whose entry names its tasks.
        arguments("wk-1/0", ANY_TASK, Event.NONE, 0, 8, 28),
        arguments("wk-1/0", ANY_TASK, Event.JOB_1_CANCELLED, 0, 4, 32),
        arguments(ANY_TASK, ANY_TASK, Event.NONE, 0, 8, 56),
        arguments(ANY_TASK, ANY_TASK, Event.JOB_1_CANCELLED, 0, 4, 60));
  }

  @ParameterizedTest
  @MethodSource("usageCases")
  void usageIsSumOverMachinesOfWhatEachMayHold(
      String first,
      String second,
      Event event,
      double launched,
      double possible,
      double unattributed) {
    addRegistered("host-1", first);
    addRegistered("host-2", second);
    addOpenJob("wk-1");
    addOpenJob("wk-2");
    applyEvent(event);
    assertEquals(
        new QuotaUsage.Amounts(launched, launched, possible, unattributed, LIMIT_CPUS),
        countedCpus());
  }

  /**
   * Guards against a possible task that no longer counts because an old heartbeat of another
   * machine showed it for a while. The attempt ends with that machine's next heartbeat, but the
   * registry entry of the first machine still counts.
   */
  @ParameterizedTest
  @EnumSource(names = {"NONE", "JOB_1_CANCELLED"})
  void oldHeartbeatDoesNotReduceUsageOfRegistryEntry(Event event) {
    addRegistered("host-1", "wk-1/0");
    addRegistered("host-3", "wk-2/0");
    addOpenJob("wk-1");
    applyEvent(Event.OLD_HEARTBEAT_OF_HOST_3_SHOWS_TASK_1_0);
    applyEvent(event);
    applyEvent(Event.HOST_3_HOLDS_NO_TASK);
    assertEquals(4, countedCpus().counted());
  }

  private void addOpenJob(String id) {
    cluster.addJob(TestData.job(id, "red", Priority.STANDARD, 2, 4), 1, 0, new BitSet(), 1);
  }
}
