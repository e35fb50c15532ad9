package org.saffronshore.cluster;

import static org.saffronshore.TestData.heartbeat;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.scheduling.SchedulingCycle;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** Base class of tests of one leader's cluster on a manual clock. */
abstract class ClusterTestBase {
  static final long TERM = 5;

  /** Version of the leader key; jobs with a lower version are from earlier terms. */
  static final long TERM_VERSION = 100;

  static final TaskId TASK = new TaskId("wk-1", 0);
  final ManualEventLoop loop = new ManualEventLoop();
  final FencingTokens tokens = new FencingTokens(TERM);
  final Cluster cluster = new Cluster(loop, TestData.settings(), tokens, TERM_VERSION);
  long sequence;

  @BeforeEach
  void setMachineTypesAndReserveTokens() {
    cluster.machineTypes(TestData.MACHINE_TYPES);
    tokens.reservedUpTo(TERM + 100);
  }

  /** Adds job wk-1 with a single task, accepted at the given version. */
  void addJob(long version) {
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 1, 4),
        version,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
  }

  /** Adds a machine that is up, reconciled and registered. */
  Machine addUpMachine(String id) {
    Machine machine =
        Objects.requireNonNull(cluster.heartbeatReceived(heartbeat(id, 1, ++sequence, TERM)));
    cluster.registry().markRegistered(List.of(machine));
    return machine;
  }

  /** Returns the machine with the given id, which must exist. */
  Machine machine(String id) {
    return Objects.requireNonNull(cluster.machine(id), id);
  }

  /** Returns the job with the given id, which must be open. */
  Job openJob(String id) {
    return Objects.requireNonNull(cluster.job(id), id);
  }

  /** Returns the next batch for a machine; there must be one. */
  CommandBatch nextBatch(Machine machine) {
    return Objects.requireNonNull(cluster.nextBatch(machine), machine.id());
  }

  boolean hasPlaceableJob() {
    return !cluster.view().pendingJobs(true).isEmpty();
  }

  /** Places {@link #TASK} on a machine and returns the batch that launches it. */
  CommandBatch launch(Machine machine) {
    cluster.place(TASK, machine.id());
    return nextBatch(machine);
  }

  Map<String, Team> teams() {
    return cluster.view().teams(SchedulingSettings.DEFAULTS, Map.of());
  }

  SchedulingPlan plan(Map<String, Team> teams) {
    return SchedulingCycle.run(
        cluster.view().schedulableMachines(),
        cluster.view().pendingJobs(true),
        teams,
        SchedulingSettings.DEFAULTS,
        false,
        new Random(1),
        loop.now());
  }

  /** Returns the indexes of the tasks that a plan places, separated by spaces. */
  static String placedIndexes(SchedulingPlan plan) {
    return plan.placements().stream()
        .map(placement -> "" + placement.task().index())
        .collect(Collectors.joining(" "));
  }

  static List<Command.Action> actions(List<Command> commands) {
    return commands.stream().map(Command::action).toList();
  }
}
