package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.saffronshore.JobBuilder;
import org.saffronshore.TestData;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Priority;

/**
 * Random faults on three complete controllers. The rules must hold throughout, and every job must
 * end.
 */
class RandomFaultsTest extends RuleCheckingSimulation {
  /**
   * Returns the seeds to run: 1 to 4 unless {@code -Dfaults.seeds=100} sets their number and {@code
   * -Dfaults.first=101} the first one.
   */
  static IntStream seeds() {
    int first = Integer.getInteger("faults.first", 1);
    return IntStream.range(first, first + Integer.getInteger("faults.seeds", 4));
  }

  /** Faults of all kinds overlap. The rules must hold, and every job must end after the faults. */
  @ParameterizedTest
  @MethodSource("seeds")
  void rulesHoldAndJobsEndUnderRandomFaults(int seed) {
    random.setSeed(seed);
    runtimeS = 12;
    randomRuntimes = true;
    for (int round = 0; round < 30; round++) {
      toggleRandomFault();
      for (int i = random.nextInt(4); i >= 0; i--) {
        sendRandomUserRequest();
        advanceAndCheckRules(random.nextDouble() * 3);
      }
      // Faults accumulate until all of them are cleared for a while.
      if (random.nextInt(5) == 0) {
        clearFaults();
        for (int i = 0; i < 5; i++) {
          sendRandomUserRequest();
          advanceAndCheckRules(random.nextDouble() * 6);
        }
      }
    }
    clearFaults();
    awaitEveryJobEnds();
    // Few jobs of a chain complete if its first jobs are cancelled. Therefore the number of started
    // tasks shows that the run had work to do.
    assertTrue(
        startedTasks.size() > 10
            && jobs.values().stream().anyMatch(view -> "done".equals(view.finalStatus)),
        () -> startedTasks.size() + " started tasks of " + jobs.size() + " jobs");
  }

  /**
   * A team is at its quota. All controllers crash twice within 15 s, each time during a short
   * outage of the state service, while some machines hang or are without power for a moment, copies
   * of commands arrive, and users cancel jobs.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void quotasHoldWhenLeadersChangeQuickly(int seed) {
    random.setSeed(seed);
    runtimeS = 2 * DEFAULT_RUNTIME_S;
    randomRuntimes = true;
    repeatedCommandShare = 0.3;
    for (int round = 0; round < 3; round++) {
      submitUntilOpen(6);
      advanceAndCheckRules(8);
      for (FakeWorker worker : workers.values()) {
        if (!worker.activeTasks().isEmpty() && random.nextInt(4) > 0) {
          worker.hangsUntil = loop.now() + 10 + 20 * random.nextDouble();
        }
      }
      advanceAndCheckRules(3 + 6 * random.nextDouble());
      for (int restart = 0; restart < 2; restart++) {
        interruptPowerOfRandomMachines();
        restartAllControllersDuringAnOutage();
        advanceAndCheckRules(2 + 4 * random.nextDouble());
        cancelRandomActiveJob();
        submitUntilOpen(6);
        advanceAndCheckRules(2 + 2 * random.nextDouble());
      }
      advanceAndCheckRules(DEFAULT_RUNTIME_S);
    }
    clearFaults();
    awaitEveryJobEnds();
    assertTrue(startedTasks.size() > 10, () -> startedTasks.size() + " started tasks");
  }

  /**
   * Machines and controllers are back within a second, again and again, and copies of half of the
   * commands arrive. Tasks stay on their machines, move to others or are cancelled.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void rulesHoldWhenMachinesAndControllersAreBackAtOnce(int seed) {
    random.setSeed(seed);
    runtimeS = 2 * DEFAULT_RUNTIME_S;
    randomRuntimes = true;
    repeatedCommandShare = 0.5;
    for (int round = 0; round < 12; round++) {
      submit(randomController(), job(2));
      submit(
          randomController(),
          TestData.job("wk-" + ++lastJobNumber, "free", Priority.STANDARD, 3, TASK_CPUS));
      advanceAndCheckRules(2 + 6 * random.nextDouble());
      interruptPowerOfRandomMachines();
      if (random.nextInt(2) == 0) {
        restartControllerAtOnce("n-" + random.nextInt(3));
      }
      if (random.nextInt(2) == 0) {
        cancelRandomActiveJob();
      }
      advanceAndCheckRules(4 * random.nextDouble());
    }
    clearFaults();
    runtimeS = 1;
    awaitEveryJobEnds();
    assertTrue(startedTasks.size() > 10, () -> startedTasks.size() + " started tasks");
  }

  /**
   * Machines are lost without notice and leaders crash, again and again. Copies of heartbeats, also
   * of the lost machines, reach the next leader. The jobs have zone constraints, and there is more
   * work than room.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void rulesHoldWhenLateHeartbeatsReachTheNextLeader(int seed) {
    random.setSeed(seed);
    runtimeS = 2 * DEFAULT_RUNTIME_S;
    randomRuntimes = true;
    lateHeartbeats.keptShare = 0.5;
    maxMachines = 4;
    for (int round = 0; round < 12; round++) {
      boolean singleZone = random.nextInt(4) > 0;
      submit(
          randomController(),
          JobBuilder.copyOf(jobOfWholeMachines(2 + random.nextInt(3)))
              .zoneConstraints(singleZone, !singleZone)
              .build());
      advanceAndCheckRules(2 + 6 * random.nextDouble());
      loseRandomMachine();
      advanceAndCheckRules(4 + 16 * random.nextDouble());
      if (leader() != null) {
        crashUntilRestart(leader(), random.nextInt(3) == 0 ? 0.2 : 5);
      }
      advanceAndCheckRules(4 + 16 * random.nextDouble());
    }
    lateHeartbeats.keptShare = 0;
    clearFaults();
    runtimeS = 1;
    awaitEveryJobEnds();
    assertTrue(startedTasks.size() > 10, () -> startedTasks.size() + " started tasks");
  }

  /** Removes a random machine that has tasks, without a preemption notice. */
  private void loseRandomMachine() {
    List<FakeWorker> busy =
        workers.values().stream().filter(worker -> !worker.activeTasks().isEmpty()).toList();
    if (!busy.isEmpty()) {
      removeMachine(busy.get(random.nextInt(busy.size())));
    }
  }

  /** Crashes a controller, which is back after the given time in seconds. */
  private void crashUntilRestart(ControllerProcess target, double afterS) {
    target.crashed = true;
    loop.schedule(
        afterS,
        () -> {
          if (processes.get(target.name) == target) {
            startController(target.name);
          }
        });
  }

  private void restartControllerAtOnce(String name) {
    processes.get(name).crashed = true;
    advanceAndCheckRules(random.nextDouble());
    startController(name);
  }

  /**
   * Crashes all controllers during an outage of the state service, and restarts them within 0.2 s.
   */
  private void restartAllControllersDuringAnOutage() {
    double startedAt = loop.now();
    setOutage(true, 0);
    advanceAndCheckRules(random.nextDouble());
    List.of("n-0", "n-1", "n-2").forEach(name -> processes.get(name).crashed = true);
    advanceAndCheckRules(0.2 * random.nextDouble());
    List.of("n-0", "n-1", "n-2").forEach(this::startController);
    advanceAndCheckRules(random.nextDouble());
    setOutage(false, loop.now() - startedAt);
  }

  /**
   * Submits jobs of two tasks until the given number is open, and resubmits the unconfirmed ones.
   */
  private void submitUntilOpen(int open) {
    while (jobs.values().stream().filter(view -> view.finalStatus == null).count() < open) {
      submit(processes.get("n-" + random.nextInt(3)), job(2));
    }
    jobs.values().stream()
        .filter(view -> !view.accepted)
        .forEach(view -> submit(processes.get("n-" + random.nextInt(3)), view.job));
  }

  /** Cancels a random job that has tasks on machines. */
  private void cancelRandomActiveJob() {
    List<UserView> open =
        jobs.values().stream()
            .filter(view -> view.finalStatus == null && activeTaskCount(view) > 0)
            .toList();
    if (!open.isEmpty()) {
      cancel(randomController(), open.get(random.nextInt(open.size())));
    }
  }

  /** Begins or ends a random fault. */
  private void toggleRandomFault() {
    ControllerProcess target = processes.get("n-" + random.nextInt(3));
    ControllerProcess leader = leader();
    switch (random.nextInt(18)) {
      case 0 -> target.refusedByStateService = !target.refusedByStateService;
      case 1 -> {
        if (leader != null) {
          leader.refusedByStateService = true;
        }
      }
      case 2 -> target.peersUnreachable = !target.peersUnreachable;
      case 3 -> target.workersUnreachable = !target.workersUnreachable;
      case 4, 5 -> crashUntilRestart(target, random.nextInt(3) == 0 ? 0.2 : 5);
      case 6 -> {
        boolean inOutage = !Double.isNaN(outageStartedAt);
        setOutage(!inOutage, inOutage ? loop.now() - outageStartedAt : 0);
        outageStartedAt = inOutage ? Double.NaN : loop.now();
      }
      case 7, 8 -> {
        for (FakeWorker worker : workers.values()) {
          if (random.nextInt(3) == 0) {
            worker.hangsUntil = loop.now() + 30 * random.nextDouble();
          }
        }
      }
      case 9 ->
          workers.values().forEach(worker -> worker.inboundMessagesLost = random.nextInt(4) == 0);
      case 10 -> workers.values().forEach(worker -> worker.heartbeatsLost = random.nextInt(3) == 0);
      case 11 -> delayedCommitShare = random.nextInt(2) * 0.3;
      case 12 -> delayedCommandShare = random.nextInt(2) * 0.3;
      case 13 -> duplicatedHeartbeatShare = random.nextInt(2) * 0.3;
      case 14 -> repeatedCommandShare = random.nextInt(2) * 0.3;
      case 15 -> interruptPowerOfRandomMachines();
      default -> {
        // No change: the current faults continue.
      }
    }
  }

  /** Lets about a third of the machines be without power for a moment. */
  private void interruptPowerOfRandomMachines() {
    for (FakeWorker worker : workers.values()) {
      if (random.nextInt(3) == 0) {
        worker.losePower(random.nextInt(4) == 0);
      }
    }
  }

  /** Sends a random user request to a random controller. */
  private void sendRandomUserRequest() {
    ControllerProcess controller = processes.get("n-" + random.nextInt(3));
    List<UserView> known = new ArrayList<>(jobs.values());
    UserView randomJob = known.isEmpty() ? null : known.get(random.nextInt(known.size()));
    long open = known.stream().filter(view -> view.finalStatus == null).count();
    switch (random.nextInt(6)) {
      case 0, 1 -> {
        if (open < 10) {
          JobSpec job = job(1 + random.nextInt(3));
          List<String> accepted = new ArrayList<>();
          known.stream().filter(view -> view.accepted).forEach(view -> accepted.add(view.job.id()));
          Collections.shuffle(accepted, random);
          job = random.nextInt(3) == 0 ? inSingleZone(job) : job;
          submit(
              controller,
              random.nextInt(2) == 0
                  ? job
                  : job.withDependencies(accepted.subList(0, Math.min(2, accepted.size()))));
        }
      }
      case 2 -> {
        if (randomJob != null && random.nextInt(2) == 0) {
          cancel(controller, randomJob);
        }
      }
      case 3 -> {
        if (randomJob != null) {
          submit(controller, randomJob.job);
        }
      }
      default -> known.forEach(view -> poll(processes.get("n-" + random.nextInt(3)), view));
    }
  }
}
