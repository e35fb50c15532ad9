package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.SimulatedCluster.MACHINE_TYPES;
import static org.saffronshore.compatibility.SimulatedCluster.OTHER_LEADER;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;
import static org.saffronshore.compatibility.SimulatedCluster.settings;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.compatibility.SimulatedCluster.CannedResponse;

/**
 * Responses of the state service to a leader or a candidate, tested by the requests that follow.
 */
class StateServiceResponsesToLeaderTest {
  private static final CannedResponse LOST_RESPONSE = new CannedResponse(0, "");

  private final SimulatedCluster cluster = new SimulatedCluster();

  // Lease of a leader

  @Test
  void leaseIdIsSentWithClaimAndRelease() {
    cluster.respondTo("POST /holds", new CannedResponse(200, "{'Permit':4711}"));
    cluster.respondTo("POST /commit", new CannedResponse(409, "{'failed':['t/term']}"));
    cluster.startLeader();
    String leaderRecord = "{'Node':'n-0','Life':'" + SimulatedCluster.INCARNATION + "','Term':1}";
    assertEquals(
        json(
            "{'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':0}],'Then':["
                + "{'Set':'l/leader','Permit':4711,'Data':"
                + leaderRecord
                + "},{'Set':'t/term','Data':"
                + leaderRecord
                + "}]}"),
        cluster.sentTransactions().get(0));
    cluster.assertSent("DELETE /holds/4711");
  }

  /** A claim whose response was lost may still be executed as long as its lease is valid. */
  @ParameterizedTest
  @CsvSource({"0, true", "429, true", "503, true", "200, false"})
  void claimWithoutSuccessResponseIsFollowedByLeaseRelease(int status, boolean released) {
    cluster.respondTo("POST /commit", new CannedResponse(status, "{'Ledger':9}"));
    cluster.startLeader();
    cluster.loop.advance(2);
    if (released) {
      cluster.assertSent("DELETE /holds/1");
    } else {
      cluster.assertNotSent("DELETE");
    }
  }

  @ParameterizedTest
  @CsvSource({"200, 200", "404, 421", "503, 200", "0, 200"})
  void leaderStepsDownOnlyIfRenewalFindsLeaseUnknown(int status, int expectedResponse) {
    ControllerUnderTest controller = cluster.startLeader();
    cluster.respondTo("POST /holds/1/renew", new CannedResponse(status, "{}"));
    cluster.loop.advance(2);
    String response =
        controller.request("POST", "/v1/report", cluster.addMachine("host-1", "a").heartbeat(0));
    assertEquals(expectedResponse, Integer.parseInt(response.substring(0, 3)));
  }

  // Pages of a leader

  /**
   * Starts a leader and a machine.
   *
   * @param responses the responses to the first attempts to write the machine's registry entry
   */
  private SimulatedWorker startLeaderThatRegistersMachine(CannedResponse... responses) {
    ControllerUnderTest controller = cluster.startLeader();
    cluster.respondTo(
        "POST /commit {'Guards':[{'K':'l/leader','Stamp':2},{'K':'r/0','Stamp':0}]", responses);
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(5);
    return worker;
  }

  private long registryWritesOverVersion(long version) {
    String prefix = "{'Guards':[{'K':'l/leader','Stamp':2},{'K':'r/0','Stamp':" + version + "}]";
    return cluster.sentTransactions().stream()
        .filter(transaction -> transaction.startsWith(json(prefix)))
        .count();
  }

  @Test
  void nextTransactionExpectsRevisionOfThePreviousOne() {
    SimulatedWorker worker =
        startLeaderThatRegistersMachine(new CannedResponse(200, "{'Ledger':4711}"));
    worker.listedAsFailed = true;
    cluster.loop.advance(5);
    assertEquals(1, registryWritesOverVersion(4711));
  }

  @Test
  void conflictOnLeaderKeyMakesLeaderStepDown() {
    startLeaderThatRegistersMachine(new CannedResponse(409, "{'Ledger':9,'failed':['l/leader']}"));
    cluster.assertSent("DELETE /holds/1");
  }

  /**
   * A write whose response was lost turns out to have been executed. The leader reads the page's
   * version.
   */
  @Test
  void conflictOnPageMakesLeaderReadItsVersion() {
    cluster.respondTo("GET /kv/r/0", new CannedResponse(200, "{'K':'r/0','Stamp':41,'Data':{}}"));
    startLeaderThatRegistersMachine(
        LOST_RESPONSE, new CannedResponse(409, "{'Ledger':41,'failed':['r/0']}"));
    cluster.assertSent("GET /kv/r/0");
    cluster.assertNotSent("DELETE");
    assertTrue(registryWritesOverVersion(41) > 0);
  }

  @ParameterizedTest
  @CsvSource({"400", "429", "503", "0"})
  void pageWriteThatFailedIsSentAgain(int status) {
    startLeaderThatRegistersMachine(new CannedResponse(status, "{}"));
    assertEquals(2, registryWritesOverVersion(0));
    cluster.assertNotSent("DELETE");
  }

  // Listings and watches

  private static String listedJob(String id, long version) {
    return "{'K':'j/" + id + "','Stamp':" + version + ",'Data':" + openJob(id, 1) + "}";
  }

  /** The watch that follows begins at the revision of the first page. */
  @Test
  void allPagesOfOpenJobsAreRead() {
    cluster.respondTo(
        "GET /kv?Under=j/&Most=500",
        new CannedResponse(
            200, "{'Ledger':20,'Items':[" + listedJob("wk-1", 4) + "],'Truncated':true}"));
    cluster.respondTo(
        "GET /kv?Under=j/&After=j/wk-1&Most=500",
        new CannedResponse(200, "{'Ledger':25,'Items':[" + listedJob("wk-2", 5) + "]}"));
    ControllerUnderTest controller = cluster.startLeader("m/types", MACHINE_TYPES);
    cluster.addMachine("host-1", "a").startHeartbeatsTo(controller);
    cluster.loop.advance(3);
    assertEquals(List.of("wk-1/0", "wk-2/0"), cluster.startedTasks);
    cluster.assertSent("GET /changes?Under=j/&After=20&HoldMs=2000");
  }

  @ParameterizedTest
  @CsvSource({"429", "503", "0"})
  void failedListingIsRequestedAgain(int status) {
    cluster.respondTo("GET /kv?Under=b/", new CannedResponse(status, "{}"));
    ControllerUnderTest controller = cluster.startLeader("j/wk-1", openJob("wk-1", 1));
    cluster.addMachine("host-1", "a").startHeartbeatsTo(controller);
    cluster.loop.advance(4);
    assertEquals(List.of("wk-1/0"), cluster.startedTasks);
  }

  @Test
  void openJobChangesAreAppliedAndWatchContinuesAtTheirRevision() {
    ControllerUnderTest controller = cluster.startLeader("m/types", MACHINE_TYPES);
    cluster.respondTo(
        "GET /changes?Under=j/",
        new CannedResponse(
            200,
            "{'Ledger':31,'Events':[{'Set':'j/wk-8','Stamp':30,'Data':"
                + openJob("wk-8", 1)
                + "}]}"));
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(4);
    cluster.assertSent("GET /changes?Under=j/&After=31&HoldMs=2000");
    assertEquals(List.of("wk-8/0"), cluster.startedTasks);
    cluster.respondTo(
        "GET /changes?Under=j/",
        new CannedResponse(200, "{'Ledger':40,'Events':[{'Remove':'j/wk-8','Stamp':40}]}"));
    cluster.loop.advance(4);
    cluster.assertSent("GET /changes?Under=j/&After=40&HoldMs=2000");
    assertEquals(List.of("wk-8/0"), worker.stoppedTasks);
  }

  /** An outcome is written only if the job's key still has the version that the watch returned. */
  @Test
  void jobOutcomeIsWrittenOnConditionOfWatchedVersion() {
    ControllerUnderTest controller = cluster.startLeader("m/types", MACHINE_TYPES);
    cluster.respondTo(
        "GET /changes?Under=j/",
        new CannedResponse(
            200,
            "{'Ledger':31,'Events':[{'Set':'j/wk-8','Stamp':30,'Data':"
                + openJob("wk-8", 1)
                + "}]}"));
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(3);
    worker.endTask("wk-8/0", "done");
    cluster.loop.advance(2);
    String prefix =
        "{'Guards':[{'K':'l/leader','Stamp':3},{'K':'j/wk-8','Stamp':30},{'K':'f/wk-8','Stamp':0}],";
    assertTrue(
        cluster.sentTransactions().stream()
            .anyMatch(transaction -> transaction.startsWith(json(prefix))));
  }

  /** With status 410 the open jobs are listed again. Otherwise the watch is repeated. */
  @ParameterizedTest
  @CsvSource({"410, 2", "503, 1", "0, 1"})
  void openJobsAreListedAgainOnlyIfWatchRevisionIsGone(int status, int listings) {
    cluster.respondTo("GET /changes?Under=j/", new CannedResponse(status, "{}"));
    ControllerUnderTest controller = cluster.startLeader("j/wk-1", openJob("wk-1", 1));
    cluster.addMachine("host-1", "a").startHeartbeatsTo(controller);
    cluster.loop.advance(7);
    assertEquals(
        listings,
        cluster.stateRequests.stream()
            .filter(request -> request.equals("GET /kv?Under=j/&Most=500"))
            .count());
    assertEquals(List.of("wk-1/0"), cluster.startedTasks);
  }

  /**
   * With status 410 workers are still redirected to the last known leader until the leader key has
   * been read again.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {"410 | 421 {'Dispatcher':'n-2'}", "503 | 421 {}"})
  void leaderKeyIsReadAgainAfterItsWatchFails(int status, String expectedResponse) {
    cluster.respondTo("GET /changes?Under=l/leader", new CannedResponse(status, "{}"));
    cluster.put("l/leader", OTHER_LEADER);
    ControllerUnderTest controller = cluster.startController(settings("n-0"));
    cluster.loop.advance(0.01);
    controller.assertHeartbeatResponse(expectedResponse, cluster.addMachine("host-1", "a"));
    cluster.loop.advance(1);
    assertEquals(2, cluster.stateRequests.stream().filter("GET /kv/l/leader"::equals).count());
    controller.assertHeartbeatResponse(
        "421 {'Dispatcher':'n-2'}", cluster.addMachine("host-2", "a"));
  }

  @Test
  void deletionOfLeaderKeyMakesFollowerCampaign() {
    cluster.respondTo(
        "GET /changes?Under=l/leader",
        new CannedResponse(200, "{'Ledger':9,'Events':[{'Remove':'l/leader','Stamp':9}]}"));
    cluster.respondTo(
        "GET /kv/l/leader",
        new CannedResponse(200, "{'K':'l/leader','Stamp':5,'Data':" + OTHER_LEADER + "}"));
    cluster.startLeader();
    cluster.assertSent("GET /changes?Under=l/leader&After=5&HoldMs=4000");
    assertEquals(
        "1", SimulatedCluster.parse(cluster.lastWrittenValue("t/term")).get("Term").asText());
  }
}
