package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.compatibility.StoredCluster.OTHER_LEADS;
import static org.saffronshore.compatibility.StoredCluster.job;
import static org.saffronshore.compatibility.StoredCluster.json;
import static org.saffronshore.compatibility.StoredCluster.open;
import static org.saffronshore.compatibility.StoredCluster.settings;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.compatibility.StoredCluster.Canned;

/** What the state service may answer to requests of users and operators is understood. */
class StateAnswersTest {
  private static final String NEEDS_WK_1 = ",'Awaits':['wk-1']";

  private final StoredCluster cluster = new StoredCluster();

  private static String status(String answer) {
    String body = answer.substring(4);
    String status = StoredCluster.tree(body).path("Status").asText();
    return answer.substring(0, 4) + (status.isEmpty() ? "-" : status);
  }

  // Users: a status of 0 stands for an answer that is lost

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'K':'j/wk-1','Stamp':9,'Permit':0,'Data':{'At':1,'Spec':{}}} | 200 pending",
        "200 | {'K':'j/wk-1','Stamp':9} | 503 -",
        "200 | nonsense | 503 -",
        "404 | {'Ledger':9} | 404 -",
        "400 | {} | 503 -",
        "429 | {} | 503 -",
        "503 | {'error':'trouble'} | 503 -",
        "0 | {} | 503 -"
      })
  void answerToTheReadingOfAJobGivesTheUser(int status, String body, String expected) {
    StoredNode node = cluster.follower();
    cluster.answer("GET /kv/j/wk-1", new Canned(status, body));
    assertEquals(expected, status(node.ask("GET", "/work/wk-1", "")));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'K':'f/wk-1','Stamp':9,'Permit':0,'Data':{'State':'done','At':1}} | 200 done",
        "404 | {'Ledger':9} | 404 -",
        "429 | {} | 503 -",
        "503 | {} | 503 -",
        "0 | {} | 503 -"
      })
  void answerToTheReadingOfAnEndGivesTheUser(int status, String body, String expected) {
    StoredNode node = cluster.follower();
    cluster.answer("GET /kv/f/wk-1", new Canned(status, body));
    assertEquals(expected, status(node.ask("GET", "/work/wk-1", "")));
  }

  /** Of a job that is refused since its key is there, the status is told. */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'Ledger':9} | 201 pending",
        "200 | nonsense | 503 -",
        "409 | {'Ledger':9,'failed':['f/wk-1']} | 200 done",
        "409 | {'Ledger':9,'failed':['j/wk-1','f/wk-1']} | 200 done",
        "409 | {'Ledger':9,'failed':['f/wk-2']} | 503 -",
        "409 | {'Ledger':9} | 503 -",
        "400 | {'error':'malformed'} | 503 -",
        "429 | {} | 429 -",
        "503 | {'error':'trouble'} | 503 -",
        "0 | {} | 503 -"
      })
  void answerToASubmissionGivesTheUser(int status, String body, String expected) {
    StoredNode node = cluster.follower("f/wk-1", "{'State':'done','At':1}");
    cluster.answer("POST /commit", new Canned(status, body));
    assertEquals(expected, status(node.ask("POST", "/work", job("wk-1", 1))));
  }

  /** 400: one of those that share a transaction is at fault, so each is sent again alone. */
  @ParameterizedTest
  @CsvSource({"400, 201, 4", "503, 503, 2", "429, 429, 2"})
  void answerToSubmissionsThatShareATransactionGivesTheirUsers(
      int status, int expected, int transactions) {
    StoredNode node = cluster.follower();
    cluster.answer("POST /commit {'Guards':[{'K':'j/wk-2',", new Canned(status, "{}"));
    List<String> answers =
        node.askAtOnce("POST", "/work", job("wk-1", 1), job("wk-2", 1), job("wk-3", 1));
    List<Integer> statuses =
        answers.stream().map(answer -> Integer.parseInt(answer.substring(0, 3))).toList();
    assertEquals(List.of(201, expected, expected), statuses);
    assertEquals(transactions, cluster.commits().size());
  }

  /** A needed job ended since it was read: its end is read, and the submission sent again. */
  @Test
  void refusalForANeededJobIsFollowedByASubmissionWithoutThatGuard() {
    StoredNode node = cluster.follower("f/wk-1", "{'State':'done','At':1}");
    cluster.answer(
        "GET /kv/j/wk-1",
        new Canned(200, "{'K':'j/wk-1','Stamp':4,'Data':" + open("wk-1", 1) + "}"));
    cluster.answer("POST /commit", new Canned(409, "{'Ledger':9,'failed':['j/wk-1']}"));
    assertEquals("201 pending", status(node.ask("POST", "/work", job("wk-2", 1, NEEDS_WK_1))));
    String guards = "{'Guards':[{'K':'j/wk-2','Stamp':0},{'K':'f/wk-2','Stamp':0}";
    String rest =
        "],'Then':[{'Set':'j/wk-2','Data':{'At':1001000,'Spec':"
            + job("wk-2", 1, NEEDS_WK_1)
            + "}}]}";
    assertEquals(
        List.of(json(guards + ",{'K':'j/wk-1','Stamp':4}" + rest), json(guards + rest)),
        cluster.commits().subList(0, 2));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'Ledger':9} | 1 | 200 aborted",
        "409 | {'Ledger':9,'failed':['j/wk-1']} | 1 | 200 aborted",
        "409 | {'Ledger':9,'failed':['j/wk-1']} | 3 | 503 -",
        "400 | {} | 1 | 503 -",
        "429 | {} | 1 | 503 -",
        "503 | {} | 1 | 503 -",
        "0 | {} | 1 | 503 -"
      })
  void answersToACancellationGiveTheUser(int status, String body, int times, String expected) {
    StoredNode node = cluster.follower("j/wk-1", open("wk-1", 1));
    for (int i = 0; i < times; i++) {
      cluster.answer("POST /commit", new Canned(status, body));
    }
    assertEquals(expected, status(node.ask("POST", "/work/wk-1/cancel", "")));
  }

  /** The question for a job that needs wk-1 compares; should wk-1 be over, its end decides. */
  @ParameterizedTest(name = "{0} {1} {2}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'Ledger':9} | aborted | 200 pending",
        "409 | {'Ledger':9,'failed':['j/wk-1']} | aborted | 200 aborted",
        "409 | {'Ledger':9,'failed':['j/wk-1']} | done | 200 pending",
        "409 | {'Ledger':9} | aborted | 503 -",
        "400 | {} | aborted | 503 -",
        "429 | {} | aborted | 503 -",
        "503 | {} | aborted | 503 -",
        "0 | {} | aborted | 503 -"
      })
  void answerToAComparisonGivesTheUser(int status, String body, String end, String expected) {
    StoredNode node =
        cluster.follower(
            "j/wk-1",
            open("wk-1", 1),
            "f/wk-1",
            "{'State':'" + end + "'}",
            "j/wk-2",
            open("wk-2", 1, NEEDS_WK_1));
    cluster.answer("POST /commit", new Canned(status, body));
    assertEquals(expected, status(node.ask("GET", "/work/wk-2", "")));
  }

  /** The ends of nine jobs are read from a listing, whose pages may be short. */
  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'Ledger':9,'Items':[@],'Truncated':false} | 422 -",
        "200 | {'Ledger':9,'Items':[@],'Truncated':true} | 201 pending",
        "200 | {'Ledger':9} | 503 -",
        "429 | {} | 503 -",
        "503 | {} | 503 -",
        "0 | {} | 503 -"
      })
  void answerToAListingOfEndsGivesTheUser(int status, String body, String expected) {
    StringBuilder needed = new StringBuilder("'wk-100'");
    StoredNode node = cluster.follower("f/wk-100", "{'State':'done'}");
    for (int n = 101; n < 110; n++) {
      needed.append(",'wk-").append(n).append('\'');
      cluster.put("f/wk-" + n, "{'State':'done'}");
    }
    String first = "{'K':'f/wk-100','Stamp':4,'Data':{'State':'done'}}";
    cluster.answer("GET /kv?Under=f/", new Canned(status, body.replace("@", first)));
    String submitted = job("wk-1", 1, ",'Awaits':[" + needed + "]");
    assertEquals(expected, status(node.ask("POST", "/work", submitted)));
  }

  // Operators

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "200 | {'Ledger':4711} | 200 4711",
        "409 | {'failed':['o/settings']} | 409 0",
        "503 | {} | 503 0"
      })
  void answerToAChangeOfSettingsGivesTheOperator(int status, String body, String expected) {
    int port = StoredOperator.freePort();
    cluster.put("l/leader", OTHER_LEADS);
    StoredNode node = cluster.start(settings("n-0").put("peer_bind", StoredOperator.address(port)));
    cluster.answer("POST /commit", new Canned(status, body));
    try (StoredOperator operator = new StoredOperator(cluster, node, port)) {
      byte[] change = json("{'version':0,'settings':{}}").getBytes(StandardCharsets.UTF_8);
      String answer = operator.ask("PUT", "/admin/settings", change);
      long version = StoredCluster.tree(answer.substring(4)).path("version").asLong();
      assertEquals(expected, answer.substring(0, 4) + version);
    }
  }
}
