package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.saffronshore.wire.JobSpec;

/**
 * Random faults on three whole controllers: whatever happens, the rules hold and every job ends.
 */
class RandomFaultsTest extends RuleCheckingSimulation {
  /**
   * A few, always the same; more are played with {@code -Dfaults.seeds=100}, and others than the
   * first ones with {@code -Dfaults.first=101}.
   */
  static IntStream seeds() {
    int first = Integer.getInteger("faults.first", 1);
    return IntStream.range(first, first + Integer.getInteger("faults.seeds", 4));
  }

  /** Whatever meets whatever: the rules hold, and once all is over every job ends. */
  @ParameterizedTest
  @MethodSource("seeds")
  void theRulesHoldUnderRandomFaults(int seed) {
    chance.setSeed(seed);
    runS = 12;
    runsVary = true;
    for (int round = 0; round < 30; round++) {
      fault();
      for (int i = chance.nextInt(4); i >= 0; i--) {
        use();
        pass(chance.nextDouble() * 3);
      }
      // Faults come in heaps: a few more each time, until all are over for a while.
      if (chance.nextInt(5) == 0) {
        heal();
        for (int i = 0; i < 5; i++) {
          use();
          pass(chance.nextDouble() * 6);
        }
      }
    }
    heal();
    everyJobEnds();
    // Of chains whose first jobs are called off hardly any is done, so it is starts that show that
    // anything was tried.
    assertTrue(
        starts.size() > 10 && jobs.values().stream().anyMatch(t -> "done".equals(t.end)),
        () -> starts.size() + " starts, of " + jobs.size() + " jobs");
  }

  /**
   * A team at its limit, and all controllers end twice within 15 s inside short outages while some
   * machines do not answer, and users cancel in the middle of it.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void limitsHoldWhenLeadersChangeQuickly(int seed) {
    chance.setSeed(seed);
    runS = 2 * RUN_S;
    runsVary = true;
    for (int round = 0; round < 3; round++) {
      submitUpTo(6);
      pass(8);
      for (FakeWorker worker : workers.values()) {
        if (!worker.holds().isEmpty() && chance.nextInt(4) > 0) {
          worker.hangsUntil = loop.now() + 10 + 20 * chance.nextDouble();
        }
      }
      pass(3 + 6 * chance.nextDouble());
      for (int restart = 0; restart < 2; restart++) {
        restartAllInAnOutage();
        pass(2 + 4 * chance.nextDouble());
        cancelOneOnMachines();
        submitUpTo(6);
        pass(2 + 2 * chance.nextDouble());
      }
      pass(RUN_S);
    }
    heal();
    everyJobEnds();
    assertTrue(starts.size() > 10, () -> starts.size() + " starts");
  }

  /** All controllers end inside an outage of the state service, and are back at once. */
  private void restartAllInAnOutage() {
    double from = loop.now();
    away(true, 0);
    pass(chance.nextDouble());
    List.of("n-0", "n-1", "n-2").forEach(name -> processes.get(name).dead = true);
    pass(0.2 * chance.nextDouble());
    List.of("n-0", "n-1", "n-2").forEach(this::life);
    pass(chance.nextDouble());
    away(false, loop.now() - from);
  }

  /** Users submit jobs of two tasks until so many are open. */
  private void submitUpTo(int open) {
    while (jobs.values().stream().filter(told -> told.end == null).count() < open) {
      submit(processes.get("n-" + chance.nextInt(3)), job(2));
    }
    jobs.values().stream()
        .filter(told -> !told.accepted)
        .forEach(told -> submit(processes.get("n-" + chance.nextInt(3)), told.job));
  }

  /** A user cancels a job that has tasks on machines. */
  private void cancelOneOnMachines() {
    List<UserView> open =
        jobs.values().stream().filter(told -> told.end == null && onMachines(told) > 0).toList();
    if (!open.isEmpty()) {
      cancel(anyNode(), open.get(chance.nextInt(open.size())));
    }
  }

  /** One fault more, or one less. */
  private void fault() {
    ControllerProcess one = processes.get("n-" + chance.nextInt(3));
    ControllerProcess leader = leader();
    switch (chance.nextInt(16)) {
      case 0 -> one.refused = !one.refused;
      case 1 -> {
        if (leader != null) {
          leader.refused = true;
        }
      }
      case 2 -> one.withoutPeers = !one.withoutPeers;
      case 3 -> one.withoutWorkers = !one.withoutWorkers;
      case 4, 5 -> {
        one.dead = true;
        loop.schedule(
            chance.nextInt(3) == 0 ? 0.2 : 5,
            () -> {
              if (processes.get(one.name) == one) {
                life(one.name);
              }
            });
      }
      case 6 -> {
        boolean over = !Double.isNaN(outageSince);
        away(!over, over ? loop.now() - outageSince : 0);
        outageSince = over ? Double.NaN : loop.now();
      }
      case 7, 8 -> {
        for (FakeWorker w : workers.values()) {
          if (chance.nextInt(3) == 0) {
            w.hangsUntil = loop.now() + 30 * chance.nextDouble();
          }
        }
      }
      case 9 -> workers.values().forEach(w -> w.unresponsive = chance.nextInt(4) == 0);
      case 10 -> workers.values().forEach(w -> w.mute = chance.nextInt(3) == 0);
      case 11 -> lateWrites = chance.nextInt(2) * 0.3;
      case 12 -> lateCommands = chance.nextInt(2) * 0.3;
      case 13 -> lateReports = chance.nextInt(2) * 0.3;
      default -> {
        // Faults last; users go on.
      }
    }
  }

  /** What users do in between, each at any controller. */
  private void use() {
    ControllerProcess node = processes.get("n-" + chance.nextInt(3));
    List<UserView> known = new ArrayList<>(jobs.values());
    UserView some = known.isEmpty() ? null : known.get(chance.nextInt(known.size()));
    long open = known.stream().filter(t -> t.end == null).count();
    switch (chance.nextInt(6)) {
      case 0, 1 -> {
        if (open < 10) {
          JobSpec job = job(1 + chance.nextInt(3));
          List<String> accepted = new ArrayList<>();
          known.stream().filter(t -> t.accepted).forEach(t -> accepted.add(t.job.id()));
          Collections.shuffle(accepted, chance);
          job = chance.nextInt(3) == 0 ? inOneZone(job) : job;
          submit(
              node,
              chance.nextInt(2) == 0
                  ? job
                  : job.withDependencies(accepted.subList(0, Math.min(2, accepted.size()))));
        }
      }
      case 2 -> {
        if (some != null && chance.nextInt(2) == 0) {
          cancel(node, some);
        }
      }
      case 3 -> {
        if (some != null) {
          submit(node, some.job);
        }
      }
      default -> known.forEach(t -> poll(processes.get("n-" + chance.nextInt(3)), t));
    }
  }
}
