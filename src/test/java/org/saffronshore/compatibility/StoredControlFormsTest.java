package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.saffronshore.compatibility.SimulatedCluster.INCARNATION;
import static org.saffronshore.compatibility.SimulatedCluster.MACHINE_TYPES;
import static org.saffronshore.compatibility.SimulatedCluster.OTHER_LEADER;
import static org.saffronshore.compatibility.SimulatedCluster.jobSpec;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;
import static org.saffronshore.compatibility.SimulatedCluster.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller reads the stored forms of the leader, terms, votes, machine types and settings. */
class StoredControlFormsTest {
  private static final ObjectMapper CBOR = new CBORMapper();

  private final SimulatedCluster cluster = new SimulatedCluster();

  // Leader key

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'Node':'n-1','Life':'1f','Term':7} | 421 {'Dispatcher':'n-1'}",
        "{'Node':'n-1'} | 421 {'Dispatcher':'n-1'}",
        "{'Life':'1f','Term':7} | 421 {}"
      })
  void leaderKeyDeterminesWhereHeartbeatsAreRedirected(String leaderKey, String response) {
    cluster.put("l/leader", leaderKey);
    ControllerUnderTest controller = cluster.startController(settings("n-0"));
    cluster.loop.advance(0.1);
    controller.assertHeartbeatResponse(response, cluster.addMachine("host-1", "a"));
  }

  /**
   * The leader key may belong to an earlier process of the controller, whose lease is ended at
   * once.
   */
  @ParameterizedTest
  @CsvSource({"1f, true", INCARNATION + ", false"})
  void leaseOfLeaderKeyIsReleasedIfAnotherProcessOfTheControllerWroteIt(
      String incarnation, boolean released) {
    cluster.respondTo(
        "GET /kv/l/leader",
        new SimulatedCluster.CannedResponse(
            200,
            "{'K':'l/leader','Stamp':5,'Permit':4711,'Data':{'Node':'n-0','Life':'"
                + incarnation
                + "','Term':3}}"));
    cluster.startController(settings("n-0"));
    cluster.loop.advance(0.1);
    if (released) {
      cluster.assertSent("DELETE /holds/4711");
    } else {
      cluster.assertNotSent("DELETE");
      cluster.assertSent("GET /changes?Under=l/leader&After=5&HoldMs=4000");
    }
  }

  @Test
  void restartedControllerLeadsNextTermWithoutWaiting() {
    ControllerUnderTest first = cluster.startLeader();
    first.kill();
    cluster.startController(settings("n-0"), 2);
    cluster.loop.advance(0.5);
    cluster.assertSent("DELETE /holds/1");
    assertEquals(
        2, SimulatedCluster.parse(cluster.lastWrittenValue("l/leader")).get("Term").asLong());
  }

  /**
   * A controller that the state service serves grants its lease only to the controller and the term
   * in the leader key.
   */
  @ParameterizedTest
  @CsvSource({"6, true", "7, false"})
  void leaseIsGrantedToPeerOnlyForTermInLeaderKey(long term, boolean granted) throws IOException {
    int port = PeerAddressClient.freePort();
    cluster.put("l/leader", OTHER_LEADER);
    ControllerUnderTest controller =
        cluster.startController(
            settings("n-0", "n-1", "n-2").put("peer_bind", PeerAddressClient.address(port)));
    cluster.loop.advance(5);
    String heartbeat =
        "{'node':'n-2','life':'2e','n':1,'served':true,'served_s':0.1,'term':" + term + "}";
    try (PeerAddressClient peer = new PeerAddressClient(cluster, controller, port)) {
      byte[] body = CBOR.writeValueAsBytes(SimulatedCluster.parse(heartbeat));
      JsonNode response = CBOR.readTree(peer.send("POST", "/peer/hello", body).body());
      assertEquals(granted, response.get("granted").asBoolean(), response.toString());
    }
  }

  // Term key

  /**
   * The controller has no peers. It waits until the term of another controller must be over, since
   * that controller may still act as leader.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'Node':'n-0','Life':'1f','Term':6} | 7 | 7",
        "{'Node':'n-9','Life':'1f','Term':6} | 0 | 7",
        "{'Life':'1f','Term':41} | 0 | 42",
        "{'Node':'n-9','Life':'1f'} | 1 | 1"
      })
  void claimedTermFollowsStoredLastTerm(String lastTerm, long termAtOnce, long termAfterWait) {
    cluster.put("t/term", lastTerm);
    cluster.startController(settings("n-0"));
    cluster.loop.advance(1);
    assertEquals(termAtOnce, claimedTerm());
    cluster.loop.advance(5);
    assertEquals(termAfterWait, claimedTerm());
    cluster.assertSent(
        "POST /commit {'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':2}],'Then':["
            + "{'Set':'l/leader','Permit':1,'Data':"
            + leaderRecord(termAfterWait)
            + "},{'Set':'t/term','Data':"
            + leaderRecord(termAfterWait)
            + "}]}");
  }

  private long claimedTerm() {
    String claimed = cluster.lastWrittenValue("t/term");
    return claimed == null ? 0 : SimulatedCluster.parse(claimed).get("Term").asLong();
  }

  private static String leaderRecord(long term) {
    return "{'Node':'n-0','Life':'" + INCARNATION + "','Term':" + term + "}";
  }

  /**
   * If another incarnation of the controller that led last responds, the last leader's process has
   * ended.
   */
  @ParameterizedTest
  @CsvSource({"1f, 7", "2e, 0"})
  void termIsClaimedAtOnceIfLastLeaderProcessHasEnded(String incarnation, long claimed)
      throws IOException {
    cluster.put("t/term", "{'Node':'n-1','Life':'" + incarnation + "','Term':6}");
    byte[] vote =
        CBOR.writeValueAsBytes(
            SimulatedCluster.parse("{'node':'n-1','life':'2e','n':1,'granted':false}"));
    cluster.peerResponses = path -> path.equals("/peer/vote") ? vote : null;
    cluster.startController(settings("n-0", "n-1", "n-2"));
    cluster.loop.advance(1);
    assertEquals(claimed, claimedTerm());
  }

  // Votes

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "e/v/n-1 | {'Term':7,'To':'n-0','Life':'@','N':1} | 7",
        "e/v/n-2 | {'Term':7,'To':'n-0','Life':'@','N':1} | 7",
        "e/n-1 | {'Term':7,'To':'n-0','Life':'@','N':1} | 0",
        "e/v/n-1 | {'Term':6,'To':'n-0','Life':'@','N':1} | 0",
        "e/v/n-1 | {'Term':7,'To':'n-2','Life':'@','N':1} | 0",
        "e/v/n-1 | {'Term':7,'To':'n-0','Life':'1f','N':1} | 0",
        "e/v/n-1 | {'Term':7,'To':'n-0','Life':'@','N':0} | 0"
      })
  void voteCountsOnlyForMatchingRequest(String key, String vote, long claimed) {
    cluster.startCandidate("n-0", new String[] {"n-1", "n-2"}, key, vote.replace("@", INCARNATION));
    assertEquals(claimed, claimedTerm());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'Node':'n-0','Life':'1f','Term':7,'N':3} | {'Term':7,'To':'n-0','Life':'1f','N':3}",
        "{'Node':'n-0','Life':'1f','Term':7} | {'Term':7,'To':'n-0','Life':'1f','N':0}",
        "{'Node':'n-2','Life':'1f','Term':7,'N':3} | ''",
        "{'Node':'n-0','Life':'1f','Term':6,'N':3} | ''",
        "{'Node':'n-0','Term':7,'N':3} | ''",
        "{'Life':'1f','Term':7,'N':3} | ''"
      })
  void voteIsWrittenOnlyForCompleteRequestWithPrecedence(String voteRequest, String vote) {
    cluster.startCandidate("n-1", new String[] {"n-0", "n-2"}, "e/call", voteRequest);
    if (vote.equals("''")) {
      assertNull(cluster.lastWrittenValue("e/v/n-1"));
    } else {
      assertEquals(json(vote), cluster.lastWrittenValue("e/v/n-1"));
    }
  }

  // Machine types

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'StashS':0.0 | 'StashS':0.0 | 201",
        "'Cores':2.0 | 'Cores':8 | 201",
        "'Cores':2.0 | 'Cores':8.5 | 422",
        "'RamGb':1.0 | 'RamGb':64 | 201",
        "'RamGb':1.0 | 'RamGb':65 | 422",
        "'Accelerators':0.0 | 'Accelerators':2 | 201",
        "'Accelerators':0.0 | 'Accelerators':3 | 422",
        "'StashS':0.0 | 'StashS':0.0,'Rigs':['gpu'] | 201",
        "'StashS':0.0 | 'StashS':0.0,'Rigs':['other'] | 422",
        "'StashS':0.0 | 'StashS':0.0,'Depot':'b' | 201",
        "'StashS':0.0 | 'StashS':0.0,'Depot':'c' | 422"
      })
  void storedMachineTypesDecideAcceptanceWhileCloudIsUnavailable(
      String from, String to, int status) {
    String job = jobSpec("wk-1", 1).replace(json(from), json(to)).replace("red", "blue");
    String response = cluster.startFollower().request("POST", "/work", job);
    assertEquals(status, Integer.parseInt(response.substring(0, 3)), response);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {"m/types | {'Rigs':[]}", "m/types | {'Types':[]}", "m/other | {'Rigs':[]}"})
  void submissionIsRejectedWhileNoMachineTypesAreKnown(String key, String types) {
    cluster.cloudUnavailable = true;
    cluster.put("l/leader", OTHER_LEADER, key, types);
    ControllerUnderTest controller = cluster.startController(settings("n-0"));
    cluster.loop.advance(1);
    assertEquals(
        json("503 {'error':'the machine types are not known yet'}"),
        controller.request("POST", "/work", jobSpec("wk-1", 1)));
  }

  @Test
  void leaderPlacesTasksByStoredMachineTypesWhileCloudIsUnavailable() {
    cluster.cloudUnavailable = true;
    ControllerUnderTest controller =
        cluster.startLeader("m/types", MACHINE_TYPES, "j/wk-1", openJob("wk-1", 1));
    cluster.addMachine("host-1", "a").startHeartbeatsTo(controller);
    cluster.loop.advance(3);
    assertEquals("[wk-1/0]", cluster.startedTasks.toString());
  }

  /** Prices change all the time, and a change of prices alone is not worth a transaction. */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'Label':'big' | 'Label':'big' | false",
        "'Label':'gpu' | 'Label':'old' | true",
        "'Cores':8 | 'Cores':9 | true",
        "'Accelerators':2 | 'Accelerators':3 | true",
        "'RamGb':64 | 'RamGb':65 | true",
        "'CacheGb':50 | 'CacheGb':51 | true",
        "'FetchGbPerS':0.25 | 'FetchGbPerS':0.5 | true",
        "'BootS':40 | 'BootS':41 | true",
        "'Depots':['b'] | 'Depots':['a'] | true",
        "'Hourly':6.75 | 'Hourly':6.5 | false",
        "'LowPrice':0.5 | 'LowPrice':0.25 | false"
      })
  void storedMachineTypesAreReplacedOnlyIfMoreThanPricesDiffer(
      String sentByCloud, String stored, boolean written) {
    cluster.startLeader("m/types", MACHINE_TYPES.replace(json(sentByCloud), json(stored)));
    assertEquals(written ? MACHINE_TYPES : null, cluster.lastWrittenValue("m/types"));
  }

  /** The stored prices apply while the cloud does not provide its machine types. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "'Hourly':2 | 'Hourly':2 | true | 'Rig':'big','Depot':'a','Loaner':true",
        "'LowPrice':0.5 | 'LowPrice':1.9 | true | 'Rig':'big','Depot':'a','Loaner':true",
        "'LowPrice':0.5 | 'LowPrice':2.5 | true | 'Rig':'big','Depot':'a','Loaner':false",
        "'Hourly':2 | 'Hourly':2 | false | 'Rig':'big','Depot':'a','Loaner':false",
        "'Hourly':2 | 'Hourly':20 | false | 'Rig':'gpu','Depot':'b','Loaner':false"
      })
  void storedPricesDecideWhichMachineIsRented(String from, String to, boolean spot, String rental) {
    cluster.machineTypesUnavailable = true;
    String job = openJob("wk-1", 1).replace("\"Loaner\":true", "\"Loaner\":" + spot);
    cluster.startLeader("m/types", MACHINE_TYPES.replace(json(from), json(to)), "j/wk-1", job);
    cluster.loop.advance(3);
    assertEquals(json("{'Hire':'r-1-1'," + rental + ",'Count':1}"), cluster.rentalRequests.get(0));
  }

  // Operator settings

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'period_s':2.5,'eviction_probability':0.2,'gpu_weight':3.0,'memory_weight':0.25,"
            + "'team_weights':{'blue':3.0,'red':0.5}} | 200 {'version':3,'settings':@}",
        "{'period_s':7} | 200 {'version':3,'settings':{'period_s':7.0,'eviction_probability':0.1,"
            + "'gpu_weight':1.0,'memory_weight':0.0,'team_weights':{}}}",
        "{'unheard_of':7} | 500 {'error':'stored settings are invalid:"
            + " unheard_of: is not a setting: expected one of [eviction_probability, gpu_weight,"
            + " memory_weight, period_s, team_weights]'}"
      })
  void storedOperatorSettingsDetermineAdminResponse(String stored, String response) {
    int port = PeerAddressClient.freePort();
    cluster.put("l/leader", OTHER_LEADER, "o/settings", stored);
    ControllerUnderTest controller =
        cluster.startController(settings("n-0").put("peer_bind", PeerAddressClient.address(port)));
    try (PeerAddressClient operator = new PeerAddressClient(cluster, controller, port)) {
      assertEquals(
          json(response.replace("@", stored)),
          operator.request("GET", "/admin/settings", new byte[0]));
    }
  }
}
