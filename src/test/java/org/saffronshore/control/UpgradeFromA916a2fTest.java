package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.saffronshore.TestData;
import org.saffronshore.cluster.Cluster;
import org.saffronshore.http.Request;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * Compatibility with the build a916a2f. The records have the exact form in which that build stored
 * them when it ran as two processes.
 */
class UpgradeFromA916a2fTest extends ClusterSimulation {
  private static final String JOB =
      "{'At':1796316510514,'Spec':{'Uid':'wk-000013','RouteKind':'clean','Crew':'vision',"
          + "'Shape':'array','Urgency':'standard','Legs':3,'Cores':1.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'img',"
          + "'ImageGb':1.0,'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':3.0,'WaypointS':0.0,'StashS':0.0}}";
  private static final String DEPENDENT_JOB =
      "{'At':1796316510562,'Spec':{'Uid':'wk-000014','RouteKind':'clean','Crew':'vision',"
          + "'Shape':'array','Urgency':'idle','Legs':2,'Cores':1.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'img',"
          + "'ImageGb':1.0,'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':2.0,'WaypointS':0.0,'StashS':0.0,"
          + "'Awaits':['wk-000013']}}";
  private static final String LAUNCHED_JOB =
      "{'At':1796316510785,'Spec':{'Uid':'wk-000017','RouteKind':'clean','Crew':'vision',"
          + "'Shape':'array','Urgency':'urgent','Legs':2,'Cores':1.0,'Accelerators':0.0,'RamGb':1.0,'Kit':'img',"
          + "'ImageGb':1.0,'SamePlace':false,'Spread':false,'Loaner':true,'EtaS':2.0,'WaypointS':0.0,'StashS':0.0,"
          + "'Awaits':['wk-000016']}}";
  private static final String SETTINGS =
      "{'period_s':3.0,'eviction_probability':0.1,'gpu_weight':4.0,'memory_weight':0.0,'team_weights':{}}";

  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(UTF_8));
  }

  /**
   * Stores the records of a term. One of three tasks of wk-000013 is finished, wk-000014 depends on
   * that job, and the tasks of wk-000017 have been launched.
   */
  private void storeRecords() {
    state.put("j/wk-000013", json(JOB));
    state.put("j/wk-000014", json(DEPENDENT_JOB));
    state.put("j/wk-000017", json(LAUNCHED_JOB));
    state.put("f/wk-000015", json("{'State':'aborted','At':1796316510673}"));
    state.put("f/wk-000016", json("{'State':'done','At':1796316513948}"));
    state.put("p/0", json("{'wk-000013/0':'AQ=='}"));
    state.put("b/0", json("{'wk-000013':3,'wk-000017':2}"));
    state.put(
        "r/0", json("{'host-000001':{'At':1796316510806},'host-000002':{'At':1796316510828}}"));
    state.put("t/term", json("{'Node':'n-0','Life':'9fd3ff6e3cdbef88','Term':2}"));
    state.put("o/settings", json(SETTINGS));
    state.put(
        "m/types",
        json(
            "{'Rigs':[{'Label':'g1','Cores':8,'Accelerators':0,'RamGb':32,'CacheGb':50,"
                + "'FetchGbPerS':1.0,'Hourly':1.0,'LowPrice':0.4,'BootS':2,'Depots':['a']}]}"));
  }

  /** Returns the response of the controller's operator interface. */
  private String operatorRequest(String path) {
    String[] body = new String[1];
    process.controller.handlePeer(
        new Request("GET", path, new byte[0]),
        (status, type, bytes, retryAfterS) -> body[0] = new String(bytes, UTF_8));
    loop.advance(0.1);
    return body[0];
  }

  private double schedulingCycles() {
    return operatorRequest("/metrics")
        .lines()
        .filter(line -> line.startsWith("saffronshore_scheduling_cycles_total "))
        .mapToDouble(line -> Double.parseDouble(line.split(" ", -1)[1]))
        .sum();
  }

  /**
   * The cloud is unavailable, so the type of the only machine is known from the stored records
   * only.
   */
  @Test
  void openJobsAreCompletedUnderTheStoredSettingsAfterAnUpgrade() throws InvalidFieldException {
    storeRecords();
    cloudUnavailable = true;
    addMachine("a").heartbeat.put("Rig", "g1");
    ObjectNode settings = TestData.settingsJson();
    settings.withObject("/cluster").putArray("teams").addObject().put("name", "vision");
    process = new ControllerProcess("n-0", false, settings);
    loop.advance(TestData.LEASE_S / 2);
    assertEquals(3, process.controller.leadership().term());
    Cluster cluster = process.controller.activeLeader().cluster();
    assertEquals(
        7,
        cluster.job("wk-000013").waitingTimeS(1796316510514L + 7000),
        "wk-000013 has been waiting since its submission");
    assertEquals(
        5,
        cluster.job("wk-000017").waitingTimeS(1796316513948L + 5000),
        "wk-000017 has been waiting since the outcome of wk-000016");
    assertEquals(List.of(), startedTasks, "host-000001 and host-000002 may still hold the tasks");
    loop.advance(2 * TestData.LEASE_S + 3 * DEFAULT_RUNTIME_S);
    assertEquals(
        List.of(
            "wk-000013/1",
            "wk-000013/2",
            "wk-000014/0",
            "wk-000014/1",
            "wk-000017/0",
            "wk-000017/1"),
        startedTasks.stream().sorted().toList(),
        "finished tasks must not be run again");
    assertTrue(startedTasks.subList(4, 6).stream().allMatch(task -> task.startsWith("wk-000014/")));
    for (String job : List.of("wk-000013", "wk-000014", "wk-000016", "wk-000017")) {
      assertEquals(
          "done", process.request("GET", "/work/" + job, null, 200).get("Status").asText(), job);
    }
    assertEquals(
        "aborted", process.request("GET", "/work/wk-000015", null, 200).get("Status").asText());
    assertEquals(json(SETTINGS), json(operatorRequest("/admin/settings")).get("settings"));
    double cycles = schedulingCycles();
    loop.advance(10 * 3.0 - 0.1);
    assertEquals(cycles + 10, schedulingCycles(), "one scheduling cycle per period_s");
  }
}
