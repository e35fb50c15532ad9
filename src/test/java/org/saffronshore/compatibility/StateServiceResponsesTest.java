package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.saffronshore.compatibility.SimulatedCluster.OTHER_LEADER;
import static org.saffronshore.compatibility.SimulatedCluster.jobSpec;
import static org.saffronshore.compatibility.SimulatedCluster.json;
import static org.saffronshore.compatibility.SimulatedCluster.openJob;
import static org.saffronshore.compatibility.SimulatedCluster.settings;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.compatibility.SimulatedCluster.CannedResponse;

/**
 * Responses of the state service to the requests that a controller sends on behalf of users and
 * operators. A status of 0 stands for a lost response.
 */
class StateServiceResponsesTest {
  private static final String DEPENDS_ON_WK_1 = ",'Awaits':['wk-1']";

  private final SimulatedCluster cluster = new SimulatedCluster();

  private static String statusCodeAndJobStatus(String response) {
    String body = response.substring(4);
    String status = SimulatedCluster.parse(body).path("Status").asText();
    return response.substring(0, 4) + (status.isEmpty() ? "-" : status);
  }

  // Users

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
  void jobReadResponseDeterminesUserResponse(int status, String body, String expected) {
    ControllerUnderTest controller = cluster.startFollower();
    cluster.respondTo("GET /kv/j/wk-1", new CannedResponse(status, body));
    assertEquals(expected, statusCodeAndJobStatus(controller.request("GET", "/work/wk-1", "")));
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
  void outcomeReadResponseDeterminesUserResponse(int status, String body, String expected) {
    ControllerUnderTest controller = cluster.startFollower();
    cluster.respondTo("GET /kv/f/wk-1", new CannedResponse(status, body));
    assertEquals(expected, statusCodeAndJobStatus(controller.request("GET", "/work/wk-1", "")));
  }

  /** If a submission is rejected because the job already exists, the user gets the job's status. */
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
  void commitResponseDeterminesResponseToSubmission(int status, String body, String expected) {
    ControllerUnderTest controller = cluster.startFollower("f/wk-1", "{'State':'done','At':1}");
    cluster.respondTo("POST /commit", new CannedResponse(status, body));
    assertEquals(
        expected, statusCodeAndJobStatus(controller.request("POST", "/work", jobSpec("wk-1", 1))));
  }

  /**
   * Status 400 means that one of the submissions in the transaction is invalid, so that each is
   * sent again in a transaction of its own.
   */
  @ParameterizedTest
  @CsvSource({"400, 201, 4", "503, 503, 2", "429, 429, 2"})
  void commitResponseDeterminesResponsesToBatchedSubmissions(
      int status, int expected, int transactions) {
    ControllerUnderTest controller = cluster.startFollower();
    cluster.respondTo("POST /commit {'Guards':[{'K':'j/wk-2',", new CannedResponse(status, "{}"));
    List<String> responses =
        controller.requestSimultaneously(
            "POST", "/work", jobSpec("wk-1", 1), jobSpec("wk-2", 1), jobSpec("wk-3", 1));
    List<Integer> statuses =
        responses.stream().map(response -> Integer.parseInt(response.substring(0, 3))).toList();
    assertEquals(List.of(201, expected, expected), statuses);
    assertEquals(transactions, cluster.sentTransactions().size());
  }

  /**
   * A dependency ended after it was read. The controller reads its outcome and sends the submission
   * again.
   */
  @Test
  void submissionIsRetriedWithoutConditionOnDependencyThatEnded() {
    ControllerUnderTest controller = cluster.startFollower("f/wk-1", "{'State':'done','At':1}");
    cluster.respondTo(
        "GET /kv/j/wk-1",
        new CannedResponse(200, "{'K':'j/wk-1','Stamp':4,'Data':" + openJob("wk-1", 1) + "}"));
    cluster.respondTo("POST /commit", new CannedResponse(409, "{'Ledger':9,'failed':['j/wk-1']}"));
    assertEquals(
        "201 pending",
        statusCodeAndJobStatus(
            controller.request("POST", "/work", jobSpec("wk-2", 1, DEPENDS_ON_WK_1))));
    String conditions = "{'Guards':[{'K':'j/wk-2','Stamp':0},{'K':'f/wk-2','Stamp':0}";
    String writes =
        "],'Then':[{'Set':'j/wk-2','Data':{'At':1001000,'Spec':"
            + jobSpec("wk-2", 1, DEPENDS_ON_WK_1)
            + "}}]}";
    assertEquals(
        List.of(json(conditions + ",{'K':'j/wk-1','Stamp':4}" + writes), json(conditions + writes)),
        cluster.sentTransactions().subList(0, 2));
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
  void commitResponsesDetermineResponseToCancellation(
      int status, String body, int times, String expected) {
    ControllerUnderTest controller = cluster.startFollower("j/wk-1", openJob("wk-1", 1));
    for (int i = 0; i < times; i++) {
      cluster.respondTo("POST /commit", new CannedResponse(status, body));
    }
    assertEquals(
        expected, statusCodeAndJobStatus(controller.request("POST", "/work/wk-1/cancel", "")));
  }

  /**
   * A status query for a job that depends on wk-1 checks that both are still open. If wk-1 is not,
   * its outcome determines the job's status.
   */
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
  void openJobCheckResponseDeterminesJobStatus(
      int status, String body, String outcome, String expected) {
    ControllerUnderTest controller =
        cluster.startFollower(
            "j/wk-1",
            openJob("wk-1", 1),
            "f/wk-1",
            "{'State':'" + outcome + "'}",
            "j/wk-2",
            openJob("wk-2", 1, DEPENDS_ON_WK_1));
    cluster.respondTo("POST /commit", new CannedResponse(status, body));
    assertEquals(expected, statusCodeAndJobStatus(controller.request("GET", "/work/wk-2", "")));
  }

  /**
   * The outcomes of more than eight dependencies are read from a listing, whose pages may have
   * fewer entries than requested.
   */
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
  void outcomeListingResponseDeterminesResponseToSubmission(
      int status, String body, String expected) {
    StringBuilder dependencies = new StringBuilder("'wk-100'");
    ControllerUnderTest controller = cluster.startFollower("f/wk-100", "{'State':'done'}");
    for (int n = 101; n < 110; n++) {
      dependencies.append(",'wk-").append(n).append('\'');
      cluster.put("f/wk-" + n, "{'State':'done'}");
    }
    String firstEntry = "{'K':'f/wk-100','Stamp':4,'Data':{'State':'done'}}";
    cluster.respondTo(
        "GET /kv?Under=f/", new CannedResponse(status, body.replace("@", firstEntry)));
    String submitted = jobSpec("wk-1", 1, ",'Awaits':[" + dependencies + "]");
    assertEquals(expected, statusCodeAndJobStatus(controller.request("POST", "/work", submitted)));
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
  void commitResponseDeterminesResponseToSettingsChange(int status, String body, String expected) {
    int port = PeerAddressClient.freePort();
    cluster.put("l/leader", OTHER_LEADER);
    ControllerUnderTest controller =
        cluster.startController(settings("n-0").put("peer_bind", PeerAddressClient.address(port)));
    cluster.respondTo("POST /commit", new CannedResponse(status, body));
    try (PeerAddressClient operator = new PeerAddressClient(cluster, controller, port)) {
      byte[] change = json("{'version':0,'settings':{}}").getBytes(StandardCharsets.UTF_8);
      String response = operator.request("PUT", "/admin/settings", change);
      long version = SimulatedCluster.parse(response.substring(4)).path("version").asLong();
      assertEquals(expected, response.substring(0, 4) + version);
    }
  }
}
