package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.saffronshore.compatibility.SimulatedCluster.INCARNATION;
import static org.saffronshore.compatibility.SimulatedCluster.MACHINE_TYPES;
import static org.saffronshore.compatibility.SimulatedCluster.jobSpec;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;
import static org.saffronshore.compatibility.SimulatedCluster.resource;
import static org.saffronshore.compatibility.SimulatedCluster.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The values that a controller writes under each key prefix, byte for byte. */
class StoredFormsTest {
  /** The stored bits of a chunk of the standard length, 32768, whose tasks are all finished. */
  static final String FULLY_FINISHED_CHUNK = "/".repeat(5460) + "/w==";

  private static final String DEPENDS_ON_WK_1 = ",'Awaits':['wk-1']";

  private final SimulatedCluster cluster = new SimulatedCluster();

  private static Arguments writesValue(
      String name, Consumer<SimulatedCluster> scenario, String key, String expected) {
    return arguments(name, scenario, key, expected);
  }

  static Stream<Arguments> jobScenarios() {
    return Stream.of(
        writesValue(
            "job with the fewest stored fields",
            c -> c.startFollower().request("POST", "/work", jobSpec("wk-1", 2)),
            "j/wk-1",
            "{'At':1001000,'Spec':" + jobSpec("wk-1", 2) + "}"),
        writesValue(
            "job with all fields",
            StoredFormsTest::submitJobWithAllFields,
            "j/wk-9",
            "{'At':1001000,'Spec':" + resource("job-stored.json") + "}"),
        writesValue(
            "outcome of a job that a user cancels",
            c ->
                c.startFollower("j/wk-1", openJob("wk-1", 1))
                    .request("POST", "/work/wk-1/cancel", ""),
            "f/wk-1",
            "{'State':'aborted','At':1001001}"),
        writesValue(
            "outcome of a job that is cancelled with its dependency",
            c ->
                c.startLeader(
                    "f/wk-1", "{'State':'aborted'}", "j/wk-2", openJob("wk-2", 1, DEPENDS_ON_WK_1)),
            "f/wk-2",
            "{'State':'aborted','At':T}"),
        writesValue(
            "outcome of a job whose tasks are all done",
            StoredFormsTest::finishOneJobAndPartsOfTwo,
            "f/wk-3",
            "{'State':'done','At':1005500}"),
        writesValue(
            "finished tasks of two jobs",
            StoredFormsTest::finishOneJobAndPartsOfTwo,
            "p/0",
            "{'wk-2/0':'Ag==','wk-1/0':'BQ=='}"),
        writesValue(
            "finished tasks in the second chunk",
            StoredFormsTest::finishTaskOfSecondChunk,
            "p/0",
            "{'wk-1/0':'" + FULLY_FINISHED_CHUNK + "','wk-1/1':'Aw=='}"),
        writesValue(
            "finished tasks of a large job with a small limit on values",
            StoredFormsTest::finishTasksWithSmallValueLimit,
            "q/0",
            "{'wk-1/0':{'Bits':'BQ==','Piece':4096}}"));
  }

  static Stream<Arguments> machineAndLeadershipScenarios() {
    String leaderRecordPrefix = "{'Node':'n-0','Life':'" + INCARNATION + "','Term':";
    return Stream.of(
        writesValue(
            "launch watermarks of two jobs",
            StoredFormsTest::launchTwoJobs,
            "b/0",
            "{'wk-1':2,'wk-2':1}"),
        writesValue(
            "registered machine that may hold any task",
            StoredFormsTest::finishOneJobAndPartsOfTwo,
            "r/0",
            "{'host-1':{'At':1001501}}"),
        writesValue(
            "registered machine whose possible tasks are known",
            StoredFormsTest::silenceOneOfTwoMachines,
            "r/0",
            "{'host-2':{'At':T},'host-1':{'At':T,'Held':['wk-1/0','wk-1/1']}}"),
        writesValue("leader", SimulatedCluster::startLeader, "l/leader", leaderRecordPrefix + "1}"),
        writesValue(
            "last term and its leader",
            SimulatedCluster::startLeader,
            "t/term",
            leaderRecordPrefix + "1}"),
        writesValue(
            "vote request",
            c ->
                c.startCandidate(
                    "n-0",
                    new String[] {"n-1", "n-2"},
                    "e/v/n-1",
                    "{'Term':7,'To':'n-0','Life':'" + INCARNATION + "','N':1}"),
            "e/call",
            leaderRecordPrefix + "7,'N':1}"),
        writesValue(
            "vote",
            c ->
                c.startCandidate(
                    "n-1",
                    new String[] {"n-0", "n-2"},
                    "e/call",
                    "{'Node':'n-0','Life':'1f','Term':7,'N':3}"),
            "e/v/n-1",
            "{'Term':7,'To':'n-0','Life':'1f','N':3}"),
        writesValue(
            "machine types as the cloud sent them",
            SimulatedCluster::startLeader,
            "m/types",
            MACHINE_TYPES),
        writesValue(
            "operator settings",
            StoredFormsTest::changeAllOperatorSettings,
            "o/settings",
            "{'period_s':2.5,'eviction_probability':0.2,'gpu_weight':3.0,'memory_weight':0.25,"
                + "'team_weights':{'blue':3.0,'red':0.5}}"));
  }

  @ParameterizedTest(name = "{2}: {0}")
  @MethodSource({"jobScenarios", "machineAndLeadershipScenarios"})
  void scenarioWritesExactValue(
      String name, Consumer<SimulatedCluster> scenario, String key, String expected) {
    scenario.accept(cluster);
    String written = cluster.lastWrittenValue(key);
    assertEquals(
        json(expected), expected.contains("'At':T") ? cluster.maskTimes(written) : written);
  }

  private static void submitJobWithAllFields(SimulatedCluster cluster) {
    ControllerUnderTest controller =
        cluster.startFollower("j/wk-1", openJob("wk-1", 1), "j/wk-2", openJob("wk-2", 1));
    controller.request("POST", "/work", resource("job-submitted.json"));
  }

  /**
   * Adds a machine with room for four tasks, whose heartbeats begin after one second, and lets 4 s
   * pass.
   */
  private static SimulatedWorker addMachineSendingHeartbeats(
      SimulatedCluster cluster, ControllerUnderTest controller) {
    SimulatedWorker worker = cluster.addMachine("host-1", "a");
    worker.startHeartbeatsTo(controller);
    cluster.loop.advance(4);
    return worker;
  }

  /**
   * Stores jobs of which task 0 of wk-1 and task 1 of wk-2 are finished, and lets task 2 of wk-1
   * and the only task of wk-3 finish on a machine.
   */
  private static void finishOneJobAndPartsOfTwo(SimulatedCluster cluster) {
    ControllerUnderTest controller =
        cluster.startLeader(
            "j/wk-1",
            openJob("wk-1", 3),
            "j/wk-2",
            openJob("wk-2", 2),
            "p/0",
            "{'wk-1/0':'AQ==','wk-2/0':'Ag=='}",
            "j/wk-3",
            openJob("wk-3", 1));
    SimulatedWorker worker = addMachineSendingHeartbeats(cluster, controller);
    worker.endTask("wk-3/0", "done");
    worker.endTask("wk-1/2", "done");
    cluster.loop.advance(3);
  }

  private static void finishTaskOfSecondChunk(SimulatedCluster cluster) {
    ControllerUnderTest controller =
        cluster.startLeader(
            "j/wk-1",
            openJob("wk-1", 32_771),
            "p/0",
            "{'wk-1/0':'" + FULLY_FINISHED_CHUNK + "','wk-1/1':'AQ=='}");
    addMachineSendingHeartbeats(cluster, controller).endTask("wk-1/32769", "done");
    cluster.loop.advance(3);
  }

  private static void finishTasksWithSmallValueLimit(SimulatedCluster cluster) {
    ObjectNode settings = settings("n-0");
    settings.withObject("/cluster/state").put("value_kb", 1);
    cluster.put("j/wk-1", openJob("wk-1", 5000));
    ControllerUnderTest controller = cluster.startController(settings);
    SimulatedWorker worker = addMachineSendingHeartbeats(cluster, controller);
    worker.endTask("wk-1/0", "done");
    worker.endTask("wk-1/2", "done");
    cluster.loop.advance(3);
  }

  private static void launchTwoJobs(SimulatedCluster cluster) {
    ControllerUnderTest controller =
        cluster.startLeader(
            "j/wk-1", openJob("wk-1", 2), "j/wk-2", openJob("wk-2", 1), "b/0", "{}");
    addMachineSendingHeartbeats(cluster, controller);
  }

  private static void silenceOneOfTwoMachines(SimulatedCluster cluster) {
    ControllerUnderTest controller =
        cluster.startLeader("j/wk-1", openJob("wk-1", 2, ",'Depot':'a'"));
    cluster.addMachine("host-2", "b").startHeartbeatsTo(controller);
    SimulatedWorker worker = addMachineSendingHeartbeats(cluster, controller);
    worker.silent = true;
    cluster.loop.advance(7);
  }

  private static void changeAllOperatorSettings(SimulatedCluster cluster) {
    int port = PeerAddressClient.freePort();
    ControllerUnderTest controller =
        cluster.startController(settings("n-0").put("peer_bind", PeerAddressClient.address(port)));
    try (PeerAddressClient operator = new PeerAddressClient(cluster, controller, port)) {
      String change =
          json(
              "{'version':0,'settings':{'team_weights':{'red':0.5,'blue':3},'memory_weight':0.25,"
                  + "'gpu_weight':3,'eviction_probability':0.2,'period_s':2.5}}");
      operator.request("PUT", "/admin/settings", change.getBytes(StandardCharsets.UTF_8));
    }
  }
}
