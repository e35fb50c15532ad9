package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.failover.CancellationHorizon;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/**
 * Compatibility with earlier versions and their stored records: the version in production (the
 * commit in deploy/service.toml, which has no job dependencies) and e08831d, the first version with
 * dependencies. The samples have the form in which these versions were observed to write. Both read
 * fields by name and ignore unknown ones.
 */
class UpgradeTest extends ClusterSimulation {
  private static final String PRODUCTION_JOB =
      "{'At':1764645441000,'Spec':{'Uid':'wk-1','RouteKind':'class','Crew':'red',"
          + "'Shape':'array','Urgency':'standard','Legs':4,'Cores':4.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'image',"
          + "'ImageGb':1.0,'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':30.0,'WaypointS':0.0,'StashS':0.0}}";

  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(UTF_8));
  }

  /**
   * Stores the records of a term of the production version: an open job with two finished tasks of
   * four, and two outcomes.
   */
  @BeforeEach
  void storeRecordsOfProduction() {
    state.put("j/wk-1", json(PRODUCTION_JOB));
    state.put("f/wk-2", json("{'State':'done'}"));
    state.put("f/wk-3", json("{'State':'aborted'}"));
    state.put("p/0", json("{'wk-1/0':'Aw=='}"));
    state.put("b/0", json("{'wk-1':4}"));
    state.put(
        "r/0",
        json("{'host-7':{'At':1764645441000},'host-8':{'At':1764645441000,'Held':['wk-1/2']}}"));
    state.put("t/term", json("{'Term':6,'Node':'n-1','Life':'1f'}"));
    state.put("m/types", json("{'Rigs':[]}"));
  }

  private void startNewVersion() throws InvalidFieldException {
    process = new ControllerProcess("n-0");
    loop.advance(2 * TestData.LEASE_S);
  }

  @Test
  void jobsOfProductionAreCompletedAfterAnUpgrade() throws InvalidFieldException {
    startNewVersion();
    assertTrue(process.controller.leadership().term() > 6);
    loop.advance(DEFAULT_RUNTIME_S + 10);
    assertEquals(
        Set.of("wk-1/2", "wk-1/3"),
        new TreeSet<>(startedTasks),
        "finished tasks must not be run again");
    assertEquals("done", process.request("GET", "/work/wk-1", null, 200).get("Status").asText());
  }

  /** Outcomes stored by the production version have no time. */
  @ParameterizedTest
  @CsvSource({"wk-2, done", "wk-3, aborted"})
  void jobMayDependOnAJobThatEndedUnderProduction(String dependency, String expectedStatus)
      throws InvalidFieldException {
    startNewVersion();
    process.request(
        "POST",
        "/work",
        TestData.job("wk-4", "red", Priority.STANDARD, 1, 4)
            .withDependencies(List.of(dependency))
            .toJson(),
        201);
    loop.advance(DEFAULT_RUNTIME_S + 10);
    assertEquals(
        expectedStatus, process.request("GET", "/work/wk-4", null, 200).get("Status").asText());
  }

  /**
   * Records written now have all fields that the production version reads, with the same names and
   * types.
   */
  @Test
  void recordsHaveTheFieldsThatProductionReads() throws InvalidFieldException {
    startNewVersion();
    JobSpec plain = TestData.job("wk-1", "red", Priority.STANDARD, 4, 4);
    assertEquals(
        fieldNames(json(PRODUCTION_JOB).get("Spec")),
        fieldNames(plain.toJson()),
        "a job without dependencies has the same fields as in production");
    assertEquals(fieldNames(json(PRODUCTION_JOB)), fieldNames(state.value("j/wk-1")));
    JsonNode outcome =
        new org.saffronshore.state.JobOutcome(org.saffronshore.state.JobStatus.DONE, 5).toJson();
    assertEquals("done", outcome.get("State").asText());
    state.value("p/0").forEach(bits -> assertTrue(bits.isTextual()));
    state.value("b/0").forEach(watermark -> assertTrue(watermark.isInt()));
    state.value("r/0").forEach(machine -> assertTrue(machine.get("At").isIntegralNumber()));
    assertEquals(Set.of("Life", "Node", "Term"), fieldNames(state.value("l/leader")));
    assertEquals(Set.of("Life", "Node", "Term"), fieldNames(state.value("t/term")));
    assertNull(
        state.value("q/0"), "pages under q/ are only for jobs that are too large for short values");
  }

  private static Set<String> fieldNames(JsonNode object) {
    Set<String> all = new TreeSet<>();
    object.fieldNames().forEachRemaining(all::add);
    return all;
  }

  /**
   * Responses to heartbeats and vote requests of the production version have all fields that it
   * reads.
   */
  @ParameterizedTest
  @CsvSource({"/peer/hello, true", "/peer/hello, false", "/peer/vote, false"})
  void peerMessagesOfProductionGetTheFieldsThatItReads(String path, boolean leads)
      throws InvalidFieldException {
    process = new ControllerProcess("n-0", true);
    loop.advance(TestData.LEASE_S / 4);
    ObjectNode message =
        Json.object()
            .put("node", "n-1")
            .put("life", "1f")
            .put("n", 1)
            .put("served", true)
            .put("served_s", 0.01);
    if (leads || path.equals("/peer/vote")) {
      message.put("term", 7);
    }
    process.controller.handlePeer(
        new Request("POST", path, Json.cbor(message)),
        (status, type, bytes, retryAfterS) -> {
          assertEquals(200, status);
          JsonNode response = Json.parseCbor(bytes);
          assertTrue(
              response.get("node").isTextual()
                  && response.get("life").isTextual()
                  && response.get("n").isIntegralNumber());
          assertTrue(
              response.get("served").isBoolean()
                  && response.get("served_s").isNumber()
                  && response.get("granted").isBoolean());
          assertEquals(
              leads,
              response.has("cancelled"),
              "only a leader receives cancellations; the production version ignores them");
        });
  }

  /**
   * A response of a production peer has no cancellations. That does not prove that the peer
   * confirmed none.
   */
  @Test
  void cancellationHorizonDoesNotAdvanceWhenAPeerReportsNoCancellations() {
    CancellationHorizon horizon = new CancellationHorizon(TestData.settings());
    horizon.recordRead(100);
    horizon.recordPeerReport("n-1", 110, 0);
    assertEquals(100, horizon.horizon());
  }

  /**
   * If long values are allowed, the largest jobs too are stored in the form that production reads.
   */
  @Test
  void largeJobsAreStoredInTheFormOfProductionWhenValuesMayBeLong() throws InvalidFieldException {
    startNewVersion();
    randomRuntimes = true;
    process.request(
        "POST",
        "/work",
        TestData.job("wk-5", "free", Priority.STANDARD, 33_000, 0.0001).toJson(),
        201);
    loop.advance(DEFAULT_RUNTIME_S);
    assertTrue(completedTasks.stream().anyMatch(task -> task.startsWith("wk-5/")));
    assertTrue(state.value("p/0").has("wk-5/0"));
    assertNull(state.value("q/0"));
  }

  // Compatibility with e08831d, the first version with dependencies

  private static final String JOB_WITH_DEPENDENCIES =
      "{'At':1030020,'Spec':{'Uid':'wk-13','RouteKind':'class','Crew':'red',"
          + "'Shape':'array','Urgency':'urgent','Legs':2,'Cores':4.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'image',"
          + "'ImageGb':1.0,'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':30.0,'WaypointS':0.0,'StashS':0.0,"
          + "'Awaits':['wk-12','wk-1']}}";
  private static final String DONE_OUTCOME = "{'State':'done','At':1053050}";
  private static final String CANCELLED_OUTCOME = "{'State':'aborted','At':1030051}";

  /**
   * Stores records in which wk-13 depends on wk-12 and wk-1, and wk-12 on wk-11, which is done. All
   * tasks but one of the large job wk-16 are finished.
   */
  private void storeRecordsOfFirstVersionWithDependencies() {
    state.put("j/wk-13", json(JOB_WITH_DEPENDENCIES));
    state.put(
        "j/wk-12",
        json(JOB_WITH_DEPENDENCIES.replace("wk-13", "wk-12").replace("'wk-12','wk-1'", "'wk-11'")));
    state.put("f/wk-11", json(DONE_OUTCOME));
    state.put("f/wk-14", json(CANCELLED_OUTCOME));
    state.put(
        "j/wk-15",
        json(JOB_WITH_DEPENDENCIES.replace("wk-13", "wk-15").replace("'wk-12','wk-1'", "'wk-14'")));
    state.put(
        "j/wk-16", json(PRODUCTION_JOB.replace("wk-1'", "wk-16'").replace("'Legs':4", "'Legs':9")));
    state.put("q/0", json("{'wk-16/0':{'Bits':'/w==','Piece':8}}"));
    state.put("p/0", json("{'wk-1/0':'Aw==','wk-12/0':'AQ=='}"));
    state.put("b/0", json("{'wk-1':4,'wk-12':2,'wk-16':9}"));
  }

  @Test
  void jobsOfFirstVersionWithDependenciesAreCompletedAfterAnUpgrade() throws InvalidFieldException {
    storeRecordsOfFirstVersionWithDependencies();
    startNewVersion();
    assertEquals(
        "aborted", process.request("GET", "/work/wk-15", null, 200).get("Status").asText());
    assertEquals(
        List.of(), startedTasks.stream().filter(task -> task.startsWith("wk-13/")).toList());
    loop.advance(2 * DEFAULT_RUNTIME_S + 10);
    for (String job : List.of("wk-1", "wk-12", "wk-13", "wk-16")) {
      assertEquals(
          "done", process.request("GET", "/work/" + job, null, 200).get("Status").asText(), job);
    }
    assertEquals(
        Set.of("wk-1/2", "wk-1/3", "wk-12/1", "wk-13/0", "wk-13/1", "wk-16/8"),
        new TreeSet<>(startedTasks),
        "finished tasks must not be run again");
    assertEquals("aborted", state.value("f/wk-15").get("State").asText());
  }

  /** Jobs that either version accepted may be dependencies, whatever their status. */
  @ParameterizedTest
  @CsvSource({
    "wk-11, pending",
    "wk-12, pending",
    "wk-13, pending",
    "wk-14, aborted",
    "wk-15, aborted"
  })
  void jobMayDependOnAnyJobThatFirstVersionWithDependenciesAccepted(
      String dependency, String status) throws InvalidFieldException {
    storeRecordsOfFirstVersionWithDependencies();
    startNewVersion();
    assertEquals(
        status,
        process
            .request(
                "POST",
                "/work",
                TestData.job("wk-20", "red", Priority.STANDARD, 1, 4)
                    .withDependencies(List.of(dependency))
                    .toJson(),
                201)
            .get("Status")
            .asText());
  }

  /**
   * Dependencies and outcomes are stored in the form of that version, even if a job has more
   * dependencies than that version accepted.
   */
  @ParameterizedTest
  @CsvSource({"2", "100"})
  void dependenciesAreStoredInTheFormOfFirstVersionWithDependencies(int dependencyCount)
      throws InvalidFieldException {
    startNewVersion();
    List<String> dependencies = new ArrayList<>();
    for (int n = 100; n < 100 + dependencyCount; n++) {
      state.put("f/wk-" + n, json(DONE_OUTCOME));
      dependencies.add("wk-" + n);
    }
    process.request(
        "POST",
        "/work",
        TestData.job("wk-30", "red", Priority.URGENT, 2, 4).withDependencies(dependencies).toJson(),
        201);
    JsonNode written = state.value("j/wk-30");
    assertEquals(fieldNames(json(JOB_WITH_DEPENDENCIES)), fieldNames(written));
    assertEquals(
        fieldNames(json(JOB_WITH_DEPENDENCIES).get("Spec")), fieldNames(written.get("Spec")));
    assertEquals(dependencyCount, written.get("Spec").get("Awaits").size());
    assertEquals("wk-100", written.get("Spec").get("Awaits").get(0).asText());
    process.request("POST", "/work/wk-30/cancel", null, 200);
    assertEquals(fieldNames(json(CANCELLED_OUTCOME)), fieldNames(state.value("f/wk-30")));
    assertEquals("aborted", state.value("f/wk-30").get("State").asText());
  }

  /** Leaders of both versions send the progress of jobs to their followers. */
  @Test
  void jobProgressOfAnEarlierVersionsLeaderIsShown() throws InvalidFieldException {
    process = new ControllerProcess("n-0", true);
    loop.advance(TestData.LEASE_S / 4);
    ObjectNode heartbeat =
        (ObjectNode)
            json(
                "{'node':'n-1','life':'e64337505e5956b1','n':58,'served':true,"
                    + "'served_s':0.011,'term':7,'jobs':{'wk-1':[1,2]}}");
    process.controller.handlePeer(
        new Request("POST", "/peer/hello", Json.cbor(heartbeat)),
        (status, type, bytes, retryAfterS) -> assertEquals(200, status));
    JsonNode status = process.request("GET", "/work/wk-1", null, 200);
    assertEquals("running", status.get("Status").asText());
    assertEquals(2, status.get("running").asInt());
  }
}
