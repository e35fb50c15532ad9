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
 * Scripts of overlapping faults, one for each combination that users reported; see
 * docs/interacting-faults.md.
 */
class InteractingFaultsTest extends RuleCheckingSimulation {
  /**
   * The state service refuses only the leader while another controller confirms a cancellation.
   * Then the service is unavailable to every controller for longer than the cancellation deadline,
   * and workers keep sending heartbeats. The cancelled tasks must end. If the peers respond, the
   * other tasks continue, since every controller reports the cancellations that it confirmed.
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
        "the leader must not step down in an outage that affects every controller");
  }

  /**
   * Cancellations are confirmed while there is no leader. A new leader claims the leader key, but
   * the state service becomes unavailable before it has read the open jobs. It knows of no
   * cancellation, however recently it renewed its key, and must not extend the lease of any task.
   */
  @Test
  void leaderThatHasNotReadTheOpenJobsExtendsNoTaskLease() {
    runtimeS = 300;
    UserView job = submit(leader(), job(2));
    advanceAndCheckRules(20);
    assertEquals(2, activeTaskCount(job));
    leader().crashed = true;
    // No controller can become leader, since no lease for the leader key can be created.
    state.unavailableFor = (method, path) -> path.equals("/holds");
    advanceAndCheckRules(3);
    cancel(follower(), job);
    advanceAndCheckRules(10);
    assertEquals("aborted", job.finalStatus);
    // A new leader claims its key, but listings of the stored records are refused.
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
   * Runs a script of faults and user requests while three jobs run and three more depend on them.
   * Each step has its time, in seconds since the start of the script. The rules must hold
   * throughout, and every job must end after the faults.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "leader crashes while tasks complete | "
            + "0 short-tasks, 6 crash leader, 9 restart, 15 crash leader, 21 restart, "
            + "30 crash leader, 31 restart",
        "delayed commands and hung machines | "
            + "0 delay-commands, 0 submit, 1 hang 12, 3 cancel 2, 8 submit, 10 hang 9, "
            + "30 clear",
        "cancellation as the last task completes | "
            + "0 short-tasks, 2 cancel 1, 2.1 poll, 4 cancel 2, 5 submit, 6 cancel 3, "
            + "6 resubmit, 9 resubmit",
        "duplicated heartbeats and leader crashes | "
            + "0 duplicate-heartbeats, 0 short-tasks, 5 crash leader, 6 restart, "
            + "20 hang 25, 30 submit, 40 crash leader, 45 restart",
        "all controllers crash after a cancellation | "
            + "0 cancel 1, 0.1 crash n-0, 0.1 crash n-1, 0.1 crash n-2, 25 restart, "
            + "30 submit",
        "machine loss and leader crash in each zone | "
            + "0 lose-machine a, 0.1 crash leader, 3 submit, 5 restart, "
            + "10 lose-machine b, 12 crash leader, 14 restart",
        "workers receive nothing from the new leader | "
            + "0 lose-inbound, 0 crash leader, 2 cancel 2, 9 submit, 15 restart, 40 clear",
        "hung machines do not respond to the new leader | "
            + "0 hang 30, 0.5 crash leader, 3 submit, 6 restart, 8 cancel 1",
        "duplicated heartbeats and an isolated leader | "
            + "0 duplicate-heartbeats, 2 isolate leader, 2 submit, 14 clear, "
            + "20 crash leader, 24 restart",
        "leader refused by the state service, then outage | "
            + "0 refuse leader, 0.2 cancel 1, 1 outage, 61 clear",
        "leader refused during cancellations, then outage | "
            + "0 cancel 1, 0 refuse leader, 0.1 cancel 2, 1 outage, 56 clear",
        "delayed commands, leader refused, then outage | "
            + "0 delay-commands, 2 refuse leader, 3 cancel 1, 6 outage, 9 poll, 50 clear",
        "team at its quota as the leader crashes | "
            + "0 hang 15, 0 submit, 0.1 crash leader, 2 cancel 1, 2.5 submit, 4 restart, "
            + "9 cancel 2, 12 submit",
        "heartbeats lost and leader crash | "
            + "0 lose-heartbeats, 3 submit, 8 crash leader, 14 restart, 14 cancel 1, "
            + "50 clear",
        "repeated changes of leader | "
            + "0 crash leader, 6 restart, 12 crash leader, 18 restart, 24 refuse leader, "
            + "36 clear, 40 outage, 44 crash leader, 50 restart, 52 cancel 1, 55 clear, "
            + "62 crash leader, 66 restart, 74 isolate leader, 86 clear, 92 crash leader",
        "leader isolated from state service and peers | "
            + "0 isolate leader, 0.5 poll, 9 cancel 1, 12 poll, 30 submit, 60 clear",
        "zone partition | " + "0 partition a, 5 submit, 10 cancel 1, 30 poll, 45 clear",
        "delayed commits and leader crashes | "
            + "0 delay-commits, 0 short-tasks, 3 submit, 5 crash leader, 7 cancel 1, "
            + "9 restart, 12 submit, 30 crash leader, 36 restart",
        "repeated crashes and restarts | "
            + "0 crash leader, 0.3 restart, 0.5 crash leader, 0.8 restart, "
            + "1.1 crash n-0, 1.1 crash n-1, 1.1 crash n-2, 1.4 restart, 2 cancel 1"
      })
  void rulesHoldAndJobsEndUnderOverlappingFaults(String displayName, String script) {
    runtimeS = 50;
    submit(leader(), job(2));
    submit(leader(), job(3));
    submit(leader(), inSingleZone(job(2)));
    advanceAndCheckRules(1);
    // A chain of dependent jobs: wk-4 depends on the running wk-1, wk-5 on wk-4, wk-6 on wk-5 and
    // wk-2.
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
    applyStep("clear");
    awaitEveryJobEnds();
  }

  /** Applies one step of a script: an action and its argument, if it has one. */
  private void applyStep(String step) {
    String[] words = step.split(" ", -1);
    ControllerProcess target =
        words.length < 2 ? null : words[1].equals("leader") ? leader() : processes.get(words[1]);
    int number =
        words.length > 1 && Character.isDigit(words[1].charAt(0)) ? Integer.parseInt(words[1]) : 0;
    switch (words[0]) {
      case "short-tasks" -> runtimeS = 5;
      case "delay-commands" -> delayedCommandShare = 0.5;
      case "delay-commits" -> delayedCommitShare = 0.5;
      case "duplicate-heartbeats" -> duplicatedHeartbeatShare = 0.8;
      case "crash" -> {
        if (target != null) {
          target.crashed = true;
        }
      }
      case "restart" ->
          processes.values().stream()
              .filter(other -> other.crashed)
              .map(other -> other.name)
              .toList()
              .forEach(this::startController);
      case "refuse" -> target.refusedByStateService = true;
      case "isolate" -> isolate(target);
      case "outage" -> {
        setOutage(true, 0);
        outageStartedAt = loop.now();
      }
      case "hang" ->
          workers.values().stream()
              .limit(2)
              .forEach(worker -> worker.hangsUntil = loop.now() + number);
      case "lose-inbound" -> workers.values().forEach(worker -> worker.inboundMessagesLost = true);
      case "lose-heartbeats" -> workers.values().forEach(worker -> worker.heartbeatsLost = true);
      case "lose-machine" ->
          workers.values().stream()
              .filter(worker -> worker.heartbeat.get("Depot").asText().equals(words[1]))
              .findFirst()
              .ifPresent(this::removeMachine);
      case "partition" -> {
        isolatedZone = words[1];
        controllerInIsolatedZone = leader();
        isolate(controllerInIsolatedZone);
      }
      case "submit" -> submit(randomController(), job(2));
      case "resubmit" ->
          List.copyOf(jobs.values()).forEach(view -> submit(randomController(), view.job));
      case "poll" -> jobs.values().forEach(view -> poll(randomController(), view));
      case "cancel" -> cancel(follower(), jobs.get("wk-" + number));
      case "clear" -> clearFaults();
      default -> throw new AssertionError("unknown step: " + step);
    }
  }

  /** Isolates a controller from the state service and its peers, but not from its workers. */
  private static void isolate(ControllerProcess controller) {
    controller.refusedByStateService = true;
    controller.peersUnreachable = true;
  }
}
