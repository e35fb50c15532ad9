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
import org.saffronshore.scheduling.SchedulingCycle;
import org.saffronshore.scheduling.SchedulingPlan;
import org.saffronshore.scheduling.SchedulingSettings;
import org.saffronshore.scheduling.Team;
import org.saffronshore.wire.Command;
import org.saffronshore.wire.Priority;
import org.saffronshore.wire.TaskId;

/** One leader's cluster on a manual clock, and what its tests have in common. */
abstract class ClusterTestBase {
  static final long TERM = 5;
  static final long KEY = 100;
  static final TaskId TASK = new TaskId("wk-1", 0);
  final ManualEventLoop loop = new ManualEventLoop();
  final Cluster cluster = new Cluster(loop, TestData.settings(), TERM, KEY);
  long sequence;

  @BeforeEach
  void types() {
    cluster.machineTypes(TestData.MACHINE_TYPES);
  }

  void job(long version) {
    cluster.addJob(
        TestData.job("wk-1", "red", Priority.STANDARD, 1, 4),
        version,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
  }

  Machine up(String id) {
    Machine machine =
        Objects.requireNonNull(cluster.heartbeatReceived(heartbeat(id, 1, ++sequence, TERM)));
    cluster.registry().markRegistered(List.of(machine));
    return machine;
  }

  /** A machine that must be there. */
  Machine machine(String id) {
    return Objects.requireNonNull(cluster.machine(id), id);
  }

  /** A job that must be open. */
  Job openJob(String id) {
    return Objects.requireNonNull(cluster.job(id), id);
  }

  /** The next batch of a machine, which must have one. */
  CommandBatch nextBatch(Machine machine) {
    return Objects.requireNonNull(cluster.nextBatch(machine), machine.id());
  }

  boolean placeable() {
    return !cluster.view().pendingJobs(true).isEmpty();
  }

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

  /** Which tasks a plan places, by their index. */
  static String placed(SchedulingPlan plan) {
    return plan.placements().stream()
        .map(p -> "" + p.task().index())
        .collect(Collectors.joining(" "));
  }

  static List<Command.Action> ops(List<Command> commands) {
    return commands.stream().map(Command::action).toList();
  }
}
