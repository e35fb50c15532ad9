package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.saffronshore.compatibility.SimulatedCluster.INCARNATION;
import static org.saffronshore.compatibility.SimulatedCluster.MACHINE_TYPES;
import static org.saffronshore.compatibility.SimulatedCluster.jobSpec;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The requests that a controller sends to the state service, byte for byte. */
class StateServiceProtocolTest {
  private static final String PENDING_STATUS = ",'Status':'pending','done':0,'running':0}";
  private static final String NINE_DEPENDENCIES =
      ",'Awaits':['wk-100','wk-101','wk-102','wk-103','wk-104','wk-105','wk-106','wk-107','wk-108']";

  private final SimulatedCluster cluster = new SimulatedCluster();

  private static List<String> sortedJson(List<String> requests) {
    return requests.stream().map(SimulatedCluster::json).sorted().toList();
  }

  // Requests of users

  private static String submissionTransaction(String id, String moreConditions, String job) {
    return ("POST /commit {'Guards':[{'K':'j/wk-@','Stamp':0},{'K':'f/wk-@','Stamp':0}"
                + moreConditions
                + "],'Then':[{'Set':'j/wk-@','Data':{'At':1001000,'Spec':")
            .replace("wk-@", id)
        + job
        + "}}]}";
  }

  private static String[] nineOutcomes() {
    return IntStream.range(100, 109)
        .boxed()
        .flatMap(n -> Stream.of("f/wk-" + n, "{'State':'done','At':1}"))
        .toArray(String[]::new);
  }

  private static String[] stored(String... keysAndValues) {
    return keysAndValues;
  }

  static Stream<Arguments> submissions() {
    String dependsOnWk1AndWk2 = jobSpec("wk-3", 1, ",'Awaits':['wk-1','wk-2']");
    String dependsOnWk2 = jobSpec("wk-3", 1, ",'Awaits':['wk-2']");
    String dependsOnNine = jobSpec("wk-3", 1, NINE_DEPENDENCIES);
    return Stream.of(
        arguments(
            "submission",
            stored(),
            "POST /work",
            jobSpec("wk-1", 2),
            "201 {'Uid':'wk-1'" + PENDING_STATUS,
            List.of(submissionTransaction("wk-1", "", jobSpec("wk-1", 2)))),
        arguments(
            "submission that depends on an open job and on one that is done",
            stored("j/wk-1", openJob("wk-1", 1), "f/wk-2", "{'State':'done','At':1}"),
            "POST /work",
            dependsOnWk1AndWk2,
            "201 {'Uid':'wk-3'" + PENDING_STATUS,
            List.of(
                "GET /kv/j/wk-1",
                "GET /kv/j/wk-2",
                "GET /kv/f/wk-2",
                submissionTransaction("wk-3", ",{'K':'j/wk-1','Stamp':4}", dependsOnWk1AndWk2))),
        arguments(
            "submission that depends on a job whose own dependency has not been read",
            stored(
                "j/wk-1", openJob("wk-1", 1), "j/wk-2", openJob("wk-2", 1, ",'Awaits':['wk-1']")),
            "POST /work",
            dependsOnWk2,
            "201 {'Uid':'wk-3'" + PENDING_STATUS,
            List.of(
                "GET /kv/j/wk-2",
                submissionTransaction("wk-3", "", dependsOnWk2),
                "GET /kv/j/wk-1",
                "POST /commit {'Guards':[{'K':'j/wk-3','Stamp':6},{'K':'j/wk-2','Stamp':5},"
                    + "{'K':'j/wk-1','Stamp':4}]}")),
        arguments(
            "submission that depends on many jobs",
            nineOutcomes(),
            "POST /work",
            dependsOnNine,
            "201 {'Uid':'wk-3'" + PENDING_STATUS,
            List.of(
                "GET /kv?Under=j/&Most=500",
                "GET /kv?Under=f/&After=f/wk-10&Most=500",
                submissionTransaction("wk-3", "", dependsOnNine))));
  }

  static Stream<Arguments> statusQueriesAndCancellations() {
    return Stream.of(
        arguments(
            "status query for an open job",
            stored("j/wk-1", openJob("wk-1", 1)),
            "GET /work/wk-1",
            "",
            "200 {'Uid':'wk-1'" + PENDING_STATUS,
            List.of("GET /kv/j/wk-1")),
        arguments(
            "status query for a job with an outcome",
            stored("f/wk-1", "{'State':'done','At':1}"),
            "GET /work/wk-1",
            "",
            "200 {'Uid':'wk-1','Status':'done'}",
            List.of("GET /kv/j/wk-1", "GET /kv/f/wk-1")),
        arguments(
            "status query for a job that depends on another",
            stored(
                "j/wk-1", openJob("wk-1", 1), "j/wk-2", openJob("wk-2", 1, ",'Awaits':['wk-1']")),
            "GET /work/wk-2",
            "",
            "200 {'Uid':'wk-2'" + PENDING_STATUS,
            List.of(
                "GET /kv/j/wk-2",
                "GET /kv/j/wk-1",
                "POST /commit {'Guards':[{'K':'j/wk-2','Stamp':5},{'K':'j/wk-1','Stamp':4}]}")),
        arguments(
            "cancellation",
            stored("j/wk-1", openJob("wk-1", 1)),
            "POST /work/wk-1/cancel",
            "",
            "200 {'Uid':'wk-1','Status':'aborted'}",
            List.of(
                "GET /kv/j/wk-1",
                "POST /commit {'Guards':[{'K':'j/wk-1','Stamp':4},{'K':'f/wk-1','Stamp':0}],"
                    + "'Then':[{'Set':'f/wk-1','Data':{'State':'aborted','At':1001001}},"
                    + "{'Remove':'j/wk-1'}]}")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"submissions", "statusQueriesAndCancellations"})
  void userRequestSendsExactlyTheseStateRequests(
      String name,
      String[] stored,
      String request,
      String body,
      String response,
      List<String> expected) {
    ControllerUnderTest controller = cluster.startFollower(stored);
    cluster.stateRequests.clear();
    String[] methodAndPath = request.split(" ", -1);
    assertEquals(json(response), controller.request(methodAndPath[0], methodAndPath[1], body));
    List<String> sent = new ArrayList<>(cluster.stateRequests);
    sent.removeIf(s -> s.startsWith("GET /changes?") || s.equals("GET /kv/t/term"));
    assertEquals(sortedJson(expected), sortedJson(sent));
  }

  @Test
  void simultaneousSubmissionsAfterTheFirstShareATransaction() {
    ControllerUnderTest controller = cluster.startFollower();
    controller.requestSimultaneously(
        "POST", "/work", jobSpec("wk-1", 1), jobSpec("wk-2", 1), jobSpec("wk-3", 1));
    assertEquals(
        List.of(
            json(submissionTransaction("wk-1", "", jobSpec("wk-1", 1))),
            json(
                "POST /commit {'Guards':[{'K':'j/wk-2','Stamp':0},{'K':'f/wk-2','Stamp':0},"
                    + "{'K':'j/wk-3','Stamp':0},{'K':'f/wk-3','Stamp':0}],"
                    + "'Then':[{'Set':'j/wk-2','Data':{'At':1001000,'Spec':"
                    + jobSpec("wk-2", 1)
                    + "}},{'Set':'j/wk-3','Data':{'At':1001000,'Spec':"
                    + jobSpec("wk-3", 1)
                    + "}}]}")),
        cluster.sentTransactions().stream()
            .map(transaction -> "POST /commit " + transaction)
            .toList());
  }

  // Requests of a leader

  /** A job of two tasks is started and finished, and then its machine fails. */
  @Test
  void leaderSendsExactlyTheseTransactionsFromTermClaimToMachineRemoval() {
    ControllerUnderTest controller = cluster.startLeader("j/wk-1", openJob("wk-1", 2));
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    cluster.loop.advance(0.5);
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(4.5);
    worker.endTask("wk-1/0", "done");
    cluster.loop.advance(3);
    worker.endTask("wk-1/1", "done");
    cluster.loop.advance(3);
    worker.listedAsFailed = true;
    cluster.loop.advance(8);
    String leaderCondition = "{'Guards':[{'K':'l/leader','Stamp':3}";
    assertEquals(
        sortedJson(
            List.of(
                "{'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':0}],'Then':["
                    + "{'Set':'l/leader','Permit':1,'Data':{'Node':'n-0','Life':'"
                    + INCARNATION
                    + "','Term':1}},{'Set':'t/term','Data':{'Node':'n-0','Life':'"
                    + INCARNATION
                    + "','Term':1}}]}",
                leaderCondition + "],'Then':[{'Set':'m/types','Data':" + MACHINE_TYPES + "}]}",
                leaderCondition
                    + ",{'K':'r/0','Stamp':0}],"
                    + "'Then':[{'Set':'r/0','Data':{'host-1':{'At':1002001}}}]}",
                leaderCondition
                    + ",{'K':'b/0','Stamp':0}],'Then':[{'Set':'b/0','Data':{'wk-1':2}}]}",
                leaderCondition
                    + ",{'K':'t/term','Stamp':3}],'Then':[{'Set':'t/term','Data':{'Node':'n-0',"
                    + "'Life':'"
                    + INCARNATION
                    + "','Term':16385}}]}",
                leaderCondition
                    + ",{'K':'p/0','Stamp':0}],'Then':[{'Set':'p/0','Data':{'wk-1/0':'AQ=='}}]}",
                leaderCondition
                    + ",{'K':'j/wk-1','Stamp':2},{'K':'f/wk-1','Stamp':0}],"
                    + "'Then':[{'Set':'f/wk-1','Data':{'State':'done','At':1009000}},"
                    + "{'Remove':'j/wk-1'}]}",
                leaderCondition + ",{'K':'p/0','Stamp':8}],'Then':[{'Set':'p/0','Data':{}}]}",
                leaderCondition + ",{'K':'r/0','Stamp':5}],'Then':[{'Set':'r/0','Data':{}}]}")),
        sortedJson(cluster.sentTransactions()));
  }

  @Test
  void leaderCancelsJobWhoseDependencyWasCancelled() {
    cluster.startLeader(
        "f/wk-1", "{'State':'aborted','At':1}", "j/wk-2", openJob("wk-2", 1, ",'Awaits':['wk-1']"));
    cluster.loop.advance(1);
    cluster.assertSent("GET /kv/f/wk-1");
    assertEquals(
        List.of(
            json(
                "{'Guards':[{'K':'l/leader','Stamp':4},{'K':'j/wk-2','Stamp':3},"
                    + "{'K':'f/wk-2','Stamp':0}],"
                    + "'Then':[{'Set':'f/wk-2','Data':{'State':'aborted','At':T}},"
                    + "{'Remove':'j/wk-2'}]}")),
        cluster.sentTransactions().stream()
            .filter(transaction -> transaction.contains("f/wk-2"))
            .map(cluster::maskTimes)
            .toList());
  }

  @Test
  void silentMachineIsRegisteredWithItsPossibleTasks() {
    ControllerUnderTest controller =
        cluster.startLeader("j/wk-1", openJob("wk-1", 1, ",'Depot':'a'"));
    SimulatedWorker silentWorker = cluster.addMachine("host-1", "a");
    SimulatedWorker heardWorker = cluster.addMachine("host-2", "b");
    silentWorker.startHeartbeatsTo(controller);
    heardWorker.startHeartbeatsTo(controller);
    cluster.loop.advance(3);
    long version = cluster.state.version("r/0");
    silentWorker.silent = true;
    cluster.loop.advance(7);
    assertEquals(
        json(
            "{'Guards':[{'K':'l/leader','Stamp':3},{'K':'r/0','Stamp':"
                + version
                + "}],'Then':[{'Set':'r/0','Data':"
                + "{'host-2':{'At':T},'host-1':{'At':T,'Held':['wk-1/0']}}}]}"),
        cluster.maskTimes(cluster.sentTransactions().get(cluster.sentTransactions().size() - 1)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /kv/l/leader",
        "GET /kv/t/term",
        "GET /kv/m/types",
        "GET /kv/o/settings",
        "GET /kv?Under=p/&Most=500",
        "GET /kv?Under=q/&Most=500",
        "GET /kv?Under=r/&Most=500",
        "GET /kv?Under=b/&Most=500",
        "GET /kv?Under=j/&Most=500",
        "GET /changes?Under=j/&After=3&HoldMs=2000",
        "POST /holds {'LifeMs':4000}",
        "POST /holds/1/renew {}"
      })
  void newLeaderSendsStateRequest(String request) {
    cluster.startLeader("j/wk-1", openJob("wk-1", 2));
    cluster.loop.advance(3);
    cluster.assertSent(request);
  }

  @Test
  void followerWatchesLeaderKey() {
    cluster.startFollower();
    cluster.assertSent("GET /changes?Under=l/leader&After=2&HoldMs=4000");
  }

  /** A worker has seen a higher fencing token, so that the leader releases its lease. */
  @Test
  void leaderThatStepsDownReleasesItsLease() {
    ControllerUnderTest controller = cluster.startLeader();
    cluster.assertNotSent("DELETE ");
    controller.sendHeartbeat(cluster.addMachine("host-1", "a").heartbeat(9), response -> {});
    cluster.loop.advance(0.1);
    cluster.assertSent("DELETE /holds/1");
  }

  // Votes through the state service

  @Test
  void candidateWithoutReachablePeersRequestsVotesAndClaimsTerm() {
    String leaderRecordPrefix = "{'Node':'n-0','Life':'" + INCARNATION + "','Term':7";
    cluster.startCandidate(
        "n-0",
        new String[] {"n-1", "n-2"},
        "e/v/n-1",
        "{'Term':7,'To':'n-0','Life':'" + INCARNATION + "','N':1}");
    cluster.assertSent("GET /kv/e/call");
    cluster.assertSent(
        "POST /commit {'Guards':[{'K':'e/call','Stamp':0}],'Then':[{'Set':'e/call','Data':"
            + leaderRecordPrefix
            + ",'N':1}}]}");
    cluster.assertSent("GET /kv?Under=e/v/&Most=500");
    cluster.assertSent(
        "POST /commit {'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':3}],'Then':["
            + "{'Set':'l/leader','Permit':1,'Data':"
            + leaderRecordPrefix
            + "}},{'Set':'t/term','Data':"
            + leaderRecordPrefix
            + "}}]}");
  }

  @Test
  void controllerThatReadsVoteRequestWritesItsVote() {
    cluster.startCandidate(
        "n-1", new String[] {"n-0", "n-2"}, "e/call", "{'Node':'n-0','Life':'1f','Term':7,'N':3}");
    cluster.assertSent(
        "POST /commit {'Guards':[{'K':'e/call','Stamp':5}],'Then':[{'Set':'e/v/n-1','Data':"
            + "{'Term':7,'To':'n-0','Life':'1f','N':3}}]}");
  }

  // Requests of operators

  @Test
  void operatorSettingsAreWrittenOnConditionOfTheVersionRead() {
    int port = PeerAddressClient.freePort();
    cluster.put("l/leader", SimulatedCluster.OTHER_LEADER, "o/settings", "{'period_s':7}");
    ControllerUnderTest controller =
        cluster.startController(
            SimulatedCluster.settings("n-0").put("peer_bind", PeerAddressClient.address(port)));
    try (PeerAddressClient operator = new PeerAddressClient(cluster, controller, port)) {
      String change =
          json("{'version':3,'settings':{'period_s':2,'team_weights':{'red':0.5,'blue':3}}}");
      String settings =
          "{'period_s':2.0,'eviction_probability':0.1,'gpu_weight':1.0,'memory_weight':0.0,"
              + "'team_weights':{'blue':3.0,'red':0.5}}";
      assertEquals(
          json("200 {'version':4,'settings':" + settings + "}"),
          operator.request("PUT", "/admin/settings", change.getBytes(StandardCharsets.UTF_8)));
      cluster.assertSent(
          "POST /commit {'Guards':[{'K':'o/settings','Stamp':3}],"
              + "'Then':[{'Set':'o/settings','Data':"
              + settings
              + "}]}");
    }
  }
}
