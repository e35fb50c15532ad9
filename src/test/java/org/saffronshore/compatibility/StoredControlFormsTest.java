package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.saffronshore.compatibility.StoredCluster.LIFE;
import static org.saffronshore.compatibility.StoredCluster.OTHER_LEADS;
import static org.saffronshore.compatibility.StoredCluster.TYPES;
import static org.saffronshore.compatibility.StoredCluster.job;
import static org.saffronshore.compatibility.StoredCluster.json;
import static org.saffronshore.compatibility.StoredCluster.open;
import static org.saffronshore.compatibility.StoredCluster.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller reads what is stored about the lead, votes, machine types and settings. */
class StoredControlFormsTest {
  private static final ObjectMapper CBOR = new CBORMapper();

  private final StoredCluster cluster = new StoredCluster();

  // Who leads

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'Node':'n-1','Life':'1f','Term':7} | 421 {'Dispatcher':'n-1'}",
        "{'Node':'n-1'} | 421 {'Dispatcher':'n-1'}",
        "{'Life':'1f','Term':7} | 421 {}"
      })
  void leadersKeyNamesWhereWorkersAreSent(String leader, String answer) {
    cluster.put("l/leader", leader);
    StoredNode node = cluster.start(settings("n-0"));
    cluster.loop.advance(0.1);
    node.assertReportAnswered(answer, cluster.machine("host-1", "a"));
  }

  /** The key may belong to an earlier process of the same node: its lease is ended at once. */
  @ParameterizedTest
  @CsvSource({"1f, true", LIFE + ", false"})
  void leadersKeyOfTheSameNodeIsReleasedByAnotherProcess(String life, boolean released) {
    cluster.answer(
        "GET /kv/l/leader",
        new StoredCluster.Canned(
            200,
            "{'K':'l/leader','Stamp':5,'Permit':4711,'Data':{'Node':'n-0','Life':'"
                + life
                + "','Term':3}}"));
    cluster.start(settings("n-0"));
    cluster.loop.advance(0.1);
    if (released) {
      cluster.assertSent("DELETE /holds/4711");
    } else {
      cluster.assertNotSent("DELETE");
      cluster.assertSent("GET /changes?Under=l/leader&After=5&HoldMs=4000");
    }
  }

  @Test
  void processThatFollowsAnotherOfItsNodeLeadsTheNextTermAtOnce() {
    StoredNode first = cluster.leader();
    first.kill();
    cluster.start(settings("n-0"), 2);
    cluster.loop.advance(0.5);
    cluster.assertSent("DELETE /holds/1");
    assertEquals(2, StoredCluster.tree(cluster.written("l/leader")).get("Term").asLong());
  }

  /** A controller that the state service serves grants its lease to whom the key names only. */
  @ParameterizedTest
  @CsvSource({"6, true", "7, false"})
  void leadersKeyNamesTheTermForWhichALeaseIsGranted(long term, boolean granted)
      throws IOException {
    int port = StoredOperator.freePort();
    cluster.put("l/leader", OTHER_LEADS);
    StoredNode node =
        cluster.start(settings("n-0", "n-1", "n-2").put("peer_bind", StoredOperator.address(port)));
    cluster.loop.advance(5);
    String heartbeat =
        "{'node':'n-2','life':'2e','n':1,'served':true,'served_s':0.1,'term':" + term + "}";
    try (StoredOperator peer = new StoredOperator(cluster, node, port)) {
      byte[] body = CBOR.writeValueAsBytes(StoredCluster.tree(heartbeat));
      JsonNode answer = CBOR.readTree(peer.send("POST", "/peer/hello", body).body());
      assertEquals(granted, answer.get("granted").asBoolean(), answer.toString());
    }
  }

  // The term

  /** Without peers: the term of another node is waited out, since that may still act. */
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
  void lastTermGivesTheNext(String last, long atOnce, long later) {
    cluster.put("t/term", last);
    cluster.start(settings("n-0"));
    cluster.loop.advance(1);
    assertEquals(atOnce, claimedTerm());
    cluster.loop.advance(5);
    assertEquals(later, claimedTerm());
    cluster.assertSent(
        "POST /commit {'Guards':[{'K':'l/leader','Stamp':0},{'K':'t/term','Stamp':2}],'Then':["
            + "{'Set':'l/leader','Permit':1,'Data':"
            + claim(later)
            + "},{'Set':'t/term','Data':"
            + claim(later)
            + "}]}");
  }

  private long claimedTerm() {
    String claimed = cluster.written("t/term");
    return claimed == null ? 0 : StoredCluster.tree(claimed).get("Term").asLong();
  }

  private static String claim(long term) {
    return "{'Node':'n-0','Life':'" + LIFE + "','Term':" + term + "}";
  }

  /** Another incarnation of the node that led last has answered: the last leader has ended. */
  @ParameterizedTest
  @CsvSource({"1f, 7", "2e, 0"})
  void lastTermNamesTheProcessThatNeedNotBeWaitedFor(String life, long claimed) throws IOException {
    cluster.put("t/term", "{'Node':'n-1','Life':'" + life + "','Term':6}");
    byte[] vote =
        CBOR.writeValueAsBytes(
            StoredCluster.tree("{'node':'n-1','life':'2e','n':1,'granted':false}"));
    cluster.peers = path -> path.equals("/peer/vote") ? vote : null;
    cluster.start(settings("n-0", "n-1", "n-2"));
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
  void voteCountsForItsRequestOnly(String key, String vote, long claimed) {
    cluster.candidate("n-0", new String[] {"n-1", "n-2"}, key, vote.replace("@", LIFE));
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
  void requestForVotesGetsAVoteIfItHasPrecedence(String call, String vote) {
    cluster.candidate("n-1", new String[] {"n-0", "n-2"}, "e/call", call);
    if (vote.equals("''")) {
      assertNull(cluster.written("e/v/n-1"));
    } else {
      assertEquals(json(vote), cluster.written("e/v/n-1"));
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
  void machineTypesDecideWhileTheCloudIsAwayWhatIsAccepted(String from, String to, int status) {
    String job = job("wk-1", 1).replace(json(from), json(to)).replace("red", "blue");
    String answer = cluster.follower().ask("POST", "/work", job);
    assertEquals(status, Integer.parseInt(answer.substring(0, 3)), answer);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {"m/types | {'Rigs':[]}", "m/types | {'Types':[]}", "m/other | {'Rigs':[]}"})
  void machineTypesThatAreNotStoredLetNothingBeAccepted(String key, String types) {
    cluster.cloudAway = true;
    cluster.put("l/leader", OTHER_LEADS, key, types);
    StoredNode node = cluster.start(settings("n-0"));
    cluster.loop.advance(1);
    assertEquals(
        json("503 {'error':'the machine types are not known yet'}"),
        node.ask("POST", "/work", job("wk-1", 1)));
  }

  @Test
  void machineTypesLetALeaderPlaceTasksWhileTheCloudIsAway() {
    cluster.cloudAway = true;
    StoredNode node = cluster.leader("m/types", TYPES, "j/wk-1", open("wk-1", 1));
    cluster.machine("host-1", "a").reportTo(node);
    cluster.loop.advance(3);
    assertEquals("[wk-1/0]", cluster.started.toString());
  }

  /** Prices change all the time, and are not worth a transaction. */
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
  void machineTypesAreWrittenAgainWhenTheCloudTellsOthers(
      String told, String stored, boolean written) {
    cluster.leader("m/types", TYPES.replace(json(told), json(stored)));
    assertEquals(written ? TYPES : null, cluster.written("m/types"));
  }

  /** The prices that are stored decide what is rented while the cloud does not tell its types. */
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
  void machineTypesNameThePricesByWhichMachinesAreRented(
      String from, String to, boolean mayBeTakenBack, String rental) {
    cluster.typesAway = true;
    String job = open("wk-1", 1).replace("\"Loaner\":true", "\"Loaner\":" + mayBeTakenBack);
    cluster.leader("m/types", TYPES.replace(json(from), json(to)), "j/wk-1", job);
    cluster.loop.advance(3);
    assertEquals(json("{'Hire':'r-1-1'," + rental + ",'Count':1}"), cluster.rentals.get(0));
  }

  // Operators' settings

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'period_s':2.5,'eviction_probability':0.2,'gpu_weight':3.0,'memory_weight':0.25,"
            + "'team_weights':{'blue':3.0,'red':0.5}} | 200 {'version':3,'settings':@}",
        "{'period_s':7} | 200 {'version':3,'settings':{'period_s':7.0,'eviction_probability':0.1,"
            + "'gpu_weight':1.0,'memory_weight':0.0,'team_weights':{}}}",
        "{'unheard_of':7} | 500 {'error':'stored settings: unheard_of: is not a setting'}"
      })
  void operatorsSettingsAreShown(String stored, String answer) {
    int port = StoredOperator.freePort();
    cluster.put("l/leader", OTHER_LEADS, "o/settings", stored);
    StoredNode node = cluster.start(settings("n-0").put("peer_bind", StoredOperator.address(port)));
    try (StoredOperator operator = new StoredOperator(cluster, node, port)) {
      assertEquals(
          json(answer.replace("@", stored)), operator.ask("GET", "/admin/settings", new byte[0]));
    }
  }
}
