package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Scripts of faults that overlap, one for each that users named; see docs/interacting-faults.md.
 */
class InteractingFaultsTest extends RuleCheckingSimulation {
  /**
   * The state service refuses the leader alone, another controller confirms a cancellation, then
   * the service is away for all for longer than a cancellation may take, and workers keep sending
   * heartbeats. The cancelled tasks end; the others continue, since every controller reports what
   * it confirmed.
   */
  @ParameterizedTest
  @CsvSource({"false, true", "true, false"})
  void cancelledTasksStopWhenTheStateServiceRefusesTheLeaderAndThenEveryController(
      boolean peersUnreachable, boolean expectedActive) {
    runtimeS = 300;
    UserView cancelled = submit(leader(), job(2));
    UserView kept = submit(leader(), job(2));
    advanceAndCheckRules(20);
    assertEquals(4, activeTaskCount(cancelled) + activeTaskCount(kept));
    ControllerProcess leader = leader();
    long term = leader.controller.leadership().term();
    leader.refusedByStateService = true;
    advanceAndCheckRules(0.5);
    cancel(follower(), cancelled);
    advanceAndCheckRules(0.3);
    assertEquals("aborted", cancelled.finalStatus);
    leader.peersUnreachable = peersUnreachable;
    setOutage(true, 0);
    advanceAndCheckRules(CANCEL_S + 30);
    assertEquals(0, activeTaskCount(cancelled));
    assertEquals(expectedActive, leader.controller.leadership().isActive());
    assertEquals(expectedActive ? 2 : 0, activeTaskCount(kept));
    leader.refusedByStateService = false;
    leader.peersUnreachable = false;
    setOutage(false, CANCEL_S + 30);
    advanceAndCheckRules(60);
    assertEquals(2, activeTaskCount(kept));
    assertEquals(
        term,
        leader().controller.leadership().term(),
        "an outage that all share is no reason to step down");
  }

  /**
   * Nobody leads for a while, and cancellations are confirmed meanwhile; a new leader has its key,
   * but the service is away before it has read the jobs. It knows of no cancellation, however fresh
   * its key is, and keeps nothing alive.
   */
  @Test
  void leaderThatHasNotReadTheOpenJobsExtendsNoTaskLease() {
    runtimeS = 300;
    UserView job = submit(leader(), job(2));
    advanceAndCheckRules(20);
    assertEquals(2, activeTaskCount(job));
    leader().crashed = true;
    // Nobody can lead: the key cannot be claimed.
    state.unavailableFor = (method, path) -> path.equals("/holds");
    advanceAndCheckRules(3);
    cancel(follower(), job);
    advanceAndCheckRules(10);
    assertEquals("aborted", job.finalStatus);
    // The next one claims its key, and then the service is away but for its leases.
    state.unavailableFor = (method, path) -> method.equals("GET") && path.startsWith("/kv?");
    advanceAndCheckRules(8);
    assertNotNull(leader());
    assertFalse(leader().controller.leadership().isActive());
    advanceAndCheckRules(CANCEL_S);
    assertEquals(0, activeTaskCount(job));
    setOutage(false, 0);
    advanceAndCheckRules(30);
    assertTrue(leader().controller.leadership().isActive());
  }

  /**
   * A script of faults and requests, in seconds from a moment at which three jobs run. The rules
   * hold throughout, and once it is over every job ends.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "ends far apart            | 0 short, 6 kill leader, 9 back, 15 kill leader, 21 back, 30 kill leader, 31 back",
        "held up commands          | 0 late, 0 submit, 1 hang 12, 3 cancel 2, 8 submit, 10 hang 9, 30 heal",
        "meets the last task's end | 0 short, 2 cancel 1, 2.1 poll, 4 cancel 2, 5 submit, 6 cancel 3, 6 repeat, 9 repeat",
        "old reports               | 0 copies, 0 short, 5 kill leader, 6 back, 20 hang 25, 30 submit, 40 kill leader, 45 back",
        "all away                  | 0 cancel 1, 0.1 kill n-0, 0.1 kill n-1, 0.1 kill n-2, 25 back, 30 submit",
        "zones lose machines       | 0 die a, 0.1 kill leader, 3 submit, 5 back, 10 die b, 12 kill leader, 14 back",
        "nobody hears the next one | 0 unresponsive, 0 kill leader, 2 cancel 2, 9 submit, 15 back, 40 heal",
        "cannot be asked           | 0 hang 30, 0.5 kill leader, 3 submit, 6 back, 8 cancel 1",
        "a report is held back     | 0 copies, 2 cut leader, 2 submit, 14 heal, 20 kill leader, 24 back",
        "refused, then all         | 0 refuse leader, 0.2 cancel 1, 1 outage, 61 heal",
        "refused as it is told     | 0 cancel 1, 0 refuse leader, 0.1 cancel 2, 1 outage, 56 heal",
        "slow, refused, then all   | 0 late, 2 refuse leader, 3 cancel 1, 6 outage, 9 poll, 50 heal",
        "a team at its limit       | 0 hang 15, 0 submit, 0.1 kill leader, 2 cancel 1, 2.5 submit, 4 back, 9 cancel 2, 12 submit",
        "reach nobody              | 0 mute, 3 submit, 8 kill leader, 14 back, 14 cancel 1, 50 heal",
        "ten leaders               | 0 kill leader, 6 back, 12 kill leader, 18 back, 24 refuse leader, 36 heal, 40 outage, "
            + "44 kill leader, 50 back, 52 cancel 1, 55 heal, 62 kill leader, 66 back, 74 cut leader, 86 heal, 92 kill leader",
        "only its workers, users   | 0 cut leader, 0.5 poll, 9 cancel 1, 12 poll, 30 submit, 60 heal",
        "a zone apart              | 0 apart a, 5 submit, 10 cancel 1, 30 poll, 45 heal",
        "late writes               | 0 writes, 0 short, 3 submit, 5 kill leader, 7 cancel 1, 9 back, 12 submit, 30 kill leader, 36 back",
        "over and back             | 0 kill leader, 0.3 back, 0.5 kill leader, 0.8 back, 1.1 kill n-0, 1.1 kill n-1, "
            + "1.1 kill n-2, 1.4 back, 2 cancel 1"
      })
  void rulesHoldAndJobsEndUnderOverlappingFaults(String name, String script) {
    runtimeS = 50;
    submit(leader(), job(2));
    submit(leader(), job(3));
    submit(leader(), inSingleZone(job(2)));
    advanceAndCheckRules(1);
    // A chain behind them: one needs what is to run long, the next one that, and the last both.
    submit(leader(), job(1).withDependencies(List.of("wk-1")));
    advanceAndCheckRules(1);
    submit(leader(), job(2).withDependencies(List.of("wk-4")));
    advanceAndCheckRules(1);
    submit(leader(), job(1).withDependencies(List.of("wk-5", "wk-2")));
    advanceAndCheckRules(12);
    assertTrue(jobs.values().stream().mapToLong(this::activeTaskCount).sum() >= 4);
    double startedAt = loop.now();
    for (String step : script.split(", *", -1)) {
      String[] words = step.trim().split(" ", 2);
      advanceAndCheckRules(Math.max(0, startedAt + Double.parseDouble(words[0]) - loop.now()));
      applyStep(words[1]);
    }
    advanceAndCheckRules(2);
    applyStep("heal");
    awaitEveryJobEnds();
  }

  private void applyStep(String step) {
    String[] words = step.split(" ", -1);
    ControllerProcess target =
        words.length < 2 ? null : words[1].equals("leader") ? leader() : processes.get(words[1]);
    int number =
        words.length > 1 && Character.isDigit(words[1].charAt(0)) ? Integer.parseInt(words[1]) : 0;
    switch (words[0]) {
      case "short" -> runtimeS = 5;
      case "late" -> delayedCommandShare = 0.5;
      case "writes" -> delayedCommitShare = 0.5;
      case "copies" -> duplicatedHeartbeatShare = 0.8;
      case "kill" -> {
        if (target != null) {
          target.crashed = true;
        }
      }
      case "back" ->
          processes.values().stream()
              .filter(other -> other.crashed)
              .map(other -> other.name)
              .toList()
              .forEach(this::startController);
      case "refuse" -> target.refusedByStateService = true;
      case "cut" -> {
        target.refusedByStateService = true;
        target.peersUnreachable = true;
      }
      case "outage" -> {
        setOutage(true, 0);
        outageStartedAt = loop.now();
      }
      case "hang" ->
          workers.values().stream()
              .limit(2)
              .forEach(worker -> worker.hangsUntil = loop.now() + number);
      case "unresponsive" -> workers.values().forEach(worker -> worker.inboundMessagesLost = true);
      case "mute" -> workers.values().forEach(worker -> worker.heartbeatsLost = true);
      case "die" ->
          workers.values().stream()
              .filter(worker -> worker.heartbeat.get("Depot").asText().equals(words[1]))
              .findFirst()
              .ifPresent(this::removeMachine);
      case "apart" -> {
        isolatedZone = words[1];
        controllerInIsolatedZone = leader();
        controllerInIsolatedZone.refusedByStateService = true;
        controllerInIsolatedZone.peersUnreachable = true;
      }
      case "submit" -> submit(randomController(), job(2));
      case "repeat" ->
          List.copyOf(jobs.values()).forEach(view -> submit(randomController(), view.job));
      case "poll" -> jobs.values().forEach(view -> poll(randomController(), view));
      case "cancel" -> cancel(follower(), jobs.get("wk-" + number));
      default -> clearFaults();
    }
  }
}
