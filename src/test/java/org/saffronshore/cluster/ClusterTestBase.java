package org.saffronshore.cluster;

import static org.saffronshore.Samples.report;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.saffronshore.ManualLoop;
import org.saffronshore.Samples;
import org.saffronshore.scheduling.Cycle;
import org.saffronshore.scheduling.Plan;
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
  final ManualLoop loop = new ManualLoop();
  final Cluster cluster = new Cluster(loop, Samples.settings(), TERM, KEY);
  long seq;

  @BeforeEach
  void types() {
    cluster.types(Samples.TYPES);
  }

  void job(long version) {
    cluster.addJob(
        Samples.job("wk-1", "red", Priority.STANDARD, 1, 4),
        version,
        0,
        new BitSet(),
        Integer.MAX_VALUE);
  }

  Machine up(String id) {
    Machine m = cluster.reported(report(id, 1, ++seq, TERM));
    cluster.registry().entered(List.of(m));
    return m;
  }

  boolean placeable() {
    return !cluster.views().pending(true).isEmpty();
  }

  CommandBatch launch(Machine m) {
    cluster.place(TASK, m.id());
    return cluster.call(m);
  }

  Map<String, Team> teams() {
    return cluster.views().teams(SchedulingSettings.START, Map.of());
  }

  Plan plan(Map<String, Team> teams) {
    return Cycle.run(
        cluster.views().hosts(),
        cluster.views().pending(true),
        teams,
        SchedulingSettings.START,
        false,
        new Random(1),
        loop.now());
  }

  /** Which tasks a plan places, by their index. */
  static String placed(Plan plan) {
    return plan.placements().stream()
        .map(p -> "" + p.task().index())
        .collect(Collectors.joining(" "));
  }

  static List<Command.Op> ops(List<Command> commands) {
    return commands.stream().map(Command::op).toList();
  }
}
