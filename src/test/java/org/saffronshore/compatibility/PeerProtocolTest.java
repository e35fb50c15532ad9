package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.MessageBodies.errorBody;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.parseCbor;
import static org.saffronshore.compatibility.MessageBodies.resource;
import static org.saffronshore.compatibility.MessageBodies.toCbor;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.compatibility.ControllerHarness.ControllerResponse;
import org.saffronshore.compatibility.ControllerHarness.FakeWorker;
import org.saffronshore.compatibility.ControllerHarness.SentRequest;
import org.saffronshore.http.Response;

/** Tests the messages between controllers, and the responses to them. */
class PeerProtocolTest {
  private static final String HELLO = "/peer/hello";
  private static final String VOTE = "/peer/vote";
  private static final String GIVE_UP = "/peer/giveup";
  private static final String REPORT = "/peer/report";

  /** The fake state service has responded within this time to a controller that it serves. */
  private static final double MAX_SERVED_AGE_S = 3;

  private static final String LEADER_HELLO =
      "{\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true,\"served_s\":0.5,\"term\":7}";
  private static final String VOTE_REQUEST =
      "{\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true,\"served_s\":0.5,\"term\":8}";

  private final ControllerHarness controller = new ControllerHarness();

  // Samples

  /**
   * Asserts that a message equals the sample of that name: a line each for its name, JSON and
   * bytes. The age of the last response of the state service depends on timing; it is 0 in the
   * samples.
   */
  private static void assertEqualsSample(String name, byte[] message) {
    List<String> lines = resource("peer-messages.txt").lines().toList();
    int index = lines.indexOf(name);
    byte[] normalized = withZeroServedAge(message);
    String actual = parseCbor(normalized) + "\n" + HexFormat.of().formatHex(normalized);
    assertEquals(index < 0 ? "" : lines.get(index + 1) + "\n" + lines.get(index + 2), actual, name);
  }

  private static byte[] withZeroServedAge(byte[] message) {
    double age = parseCbor(message).get("served_s").asDouble();
    assertTrue(age >= 0);
    if (age > MAX_SERVED_AGE_S) {
      return message;
    }
    String name = "served_s";
    // In this charset each byte is one character.
    String text = new String(message, StandardCharsets.ISO_8859_1);
    ByteBuffer normalized = ByteBuffer.wrap(message.clone());
    int value = text.indexOf(name) + name.length() + 1;
    assertEquals(age, normalized.getDouble(value), "served_s is not an eight-byte number");
    return normalized.putDouble(value, 0).array();
  }

  /** Asserts that the first two requests to the path went to both peers and equal the sample. */
  private void assertSentToBothPeers(String sample, String path) {
    List<SentRequest> sent =
        controller.sentRequests.stream().filter(s -> s.path().equals(path)).toList();
    List<SentRequest> both = sent.subList(0, 2);
    assertEquals(
        List.of("POST 10.0.0.2:8081", "POST 10.0.0.3:8081"),
        both.stream().map(s -> s.method() + " " + s.to()).sorted().toList());
    both.forEach(s -> assertEqualsSample(sample, s.body()));
  }

  private ControllerResponse send(String path, String message) {
    return controller.requestAsPeer("POST", path, toCbor(message));
  }

  private void assertResponse(String sample, ControllerResponse response) {
    assertEquals(
        "200 application/cbor 0",
        response.status() + " " + response.contentType() + " " + response.retryAfterS());
    assertEqualsSample(sample, response.body());
  }

  private boolean isGranted(String path, String message) {
    return parseCbor(send(path, message).body()).get("granted").asBoolean();
  }

  private boolean isLeading() {
    return jsonObject(controller.requestAsOperator("GET", "/admin/status", null).bodyText())
        .get("leading")
        .asBoolean();
  }

  // Requests

  @Test
  void helloOfFollowerNamesItsSender() {
    controller.startAsFollower();
    assertSentToBothPeers("hello of a follower", HELLO);
  }

  @Test
  void helloBeforeAnyStateServiceResponseReportsNotServed() {
    controller.state.unreachable = true;
    controller.start();
    controller.loop.advance(2);
    assertSentToBothPeers("hello of a controller that was never served", HELLO);
  }

  @Test
  void voteRequestNamesNextTerm() {
    controller.start();
    controller.loop.advance(0.1);
    assertSentToBothPeers("vote of a candidate", VOTE);
  }

  @Test
  void giveupOfDefeatedCandidateNamesRequestedTerm() {
    controller.state.put("t/term", jsonObject("{\"Node\":\"n-9\",\"Life\":\"9f\",\"Term\":6}"));
    controller.peerResponder = request -> new Response(200, toCbor(LEADER_HELLO));
    controller.start();
    controller.loop.advance(0.1);
    assertSentToBothPeers("vote for a later term", VOTE);
    assertSentToBothPeers("giveup of a candidate", GIVE_UP);
  }

  @Test
  void helloOfLeaderWithoutJobsNamesItsTerm() {
    controller.start();
    controller.loop.advance(1.5);
    assertSentToBothPeers("hello of a leader without jobs", HELLO);
  }

  @Test
  void helloOfLeaderCarriesJobProgress() {
    controller.start();
    controller.loop.advance(2.5);
    FakeWorker worker = controller.launchTask("{\"Legs\":2}", "running");
    worker.endTask("wk-1/0", "done");
    worker.sendHeartbeat();
    controller.sentRequests.clear();
    controller.loop.advance(1);
    assertSentToBothPeers("hello of a leader with a job", HELLO);
  }

  // Responses

  @Test
  void responseToHelloOfFollowerHasNoCancellations() {
    controller.startAsFollower();
    assertResponse(
        "answer to a follower",
        send(HELLO, "{\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true,\"served_s\":0.5}"));
  }

  @Test
  void responseToHelloOfLeaderHasGrantAndCancellations() {
    controller.startAsFollower();
    controller.loop.advance(3);
    assertResponse("answer to the leader", send(HELLO, LEADER_HELLO));
  }

  @Test
  void responseToHelloOfLeaderAfterCancellationHasCancelledJob() {
    controller.startAsFollower();
    controller.submit("{}");
    assertEquals(200, controller.request("POST", "/work/wk-1/cancel", null).status());
    controller.loop.advance(1005 - controller.loop.now());
    assertResponse("answer to the leader with a cancellation", send(HELLO, LEADER_HELLO));
  }

  @Test
  void responseToGrantedVoteRequestHasGrant() {
    controller.startAsFollower();
    controller.loop.advance(3);
    assertResponse("answer that grants a vote", send(VOTE, VOTE_REQUEST));
  }

  @Test
  void responseToDeniedVoteRequestHasNoGrant() {
    controller.startAsFollower();
    assertResponse("answer that grants no vote", send(VOTE, VOTE_REQUEST));
  }

  @Test
  void responseToGiveupHasNoGrant() {
    controller.startAsFollower();
    assertResponse("answer to a giveup", send(GIVE_UP, VOTE_REQUEST));
  }

  // Fields of requests

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true,\"term\":8} | true",
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"served\":true,\"term\":8} | true",
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":false,\"term\":8} | false",
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"term\":8} | false",
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true} | false",
        "/peer/vote | {\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true,\"term\":\"8\"} | false",
        "/peer/hello | {\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true,\"term\":7} | true",
        "/peer/hello | {\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true,\"term\":6} | false",
        "/peer/hello | {\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true} | false",
        "/peer/giveup | {\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true,\"term\":7} | false"
      })
  void requestFieldsDecideWhetherItIsGranted(String path, String message, boolean granted) {
    controller.startAsFollower();
    controller.loop.advance(3);
    assertEquals(granted, isGranted(path, message));
  }

  @Test
  void voteForAnotherProcessIsGrantedOnlyAfterFirstGivesUp() {
    controller.startAsFollower();
    controller.loop.advance(3);
    assertTrue(isGranted(VOTE, VOTE_REQUEST));
    assertFalse(isGranted(VOTE, VOTE_REQUEST), "a copy, which has the same sequence");
    assertTrue(
        isGranted(VOTE, VOTE_REQUEST.replace("\"n\":1", "\"n\":2")), "the process asks again");
    String other = VOTE_REQUEST.replace("2f", "3f");
    assertFalse(isGranted(VOTE, other), "another process of the same controller");
    String giveUp = VOTE_REQUEST.replace("\"n\":1", "\"n\":3");
    send(GIVE_UP, giveUp.replace("\"term\":8", "\"term\":7").replace("\"n\":3", "\"n\":4"));
    assertFalse(isGranted(VOTE, other.replace("\"n\":1", "\"n\":2")), "gave up another term");
    send(GIVE_UP, giveUp.replace("\"n\":3", "\"n\":5"));
    assertTrue(isGranted(VOTE, other.replace("\"n\":1", "\"n\":3")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"wk-1\":[3,2]} | running | 3 | 2",
        "{\"wk-1\":[3,0]} | pending | 3 | 0",
        "{\"wk-2\":[3,2]} | pending | 0 | 0",
        "{\"wk-1\":7} | pending | 0 | 0",
        "7 | pending | 0 | 0"
      })
  void jobProgressInHelloIsReportedToUsers(String jobs, String status, int done, int running) {
    controller.startAsFollower();
    controller.submit("{\"Legs\":5}");
    send(HELLO, LEADER_HELLO.replace("}", ",\"jobs\":" + jobs + "}"));
    controller
        .request("GET", "/work/wk-1", null)
        .assertIs(
            200,
            "{\"Uid\":\"wk-1\",\"Status\":\"%s\",\"done\":%d,\"running\":%d}"
                .formatted(status, done, running));
  }

  /**
   * A controller is not ready if the state service has responded to a peer since it last responded
   * to this controller: users then go to the peer.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"\"served_s\":0 | 503", "\"served_s\":100 | 200", "\"other\":0 | 200"})
  void servedAgeInPeersHelloDecidesHealth(String servedS, int status) {
    controller.startAsFollower();
    controller.state.unavailableFor = (method, path) -> true;
    controller.loop.advance(8);
    send(HELLO, "{\"node\":\"n-2\",\"life\":\"2f\",\"n\":1,\"served\":true," + servedS + "}");
    assertEquals(status, controller.request("GET", "/healthz", null).status());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "7 | body: must be an object in CBOR",
        "[] | body: must be an object in CBOR",
        "{} | node: is missing or not a text",
        "{\"node\":3,\"life\":\"1f\"} | node: is missing or not a text",
        "{\"node\":\"n-1\"} | life: is missing or not a text",
        "{\"node\":\"n-1\",\"life\":[]} | life: is missing or not a text"
      })
  void requestWithoutSenderIsRejected(String message, String problem) {
    controller.startAsFollower();
    for (String path : List.of(HELLO, VOTE, GIVE_UP)) {
      send(path, message).assertIs(400, errorBody(problem));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {HELLO, VOTE, GIVE_UP})
  void requestThatIsNotACborObjectIsRejected(String path) {
    controller.startAsFollower();
    String problem = errorBody("body: must be an object in CBOR");
    controller.requestAsPeer("POST", path, null).assertIs(400, problem);
    controller.requestAsPeer("POST", path, new byte[0]).assertIs(400, problem);
    controller.requestAsPeer("POST", path, MessageBodies.utf8(LEADER_HELLO)).assertIs(400, problem);
    controller.requestAsPeer("GET", path, toCbor(LEADER_HELLO)).assertIs(400, problem);
  }

  @Test
  void pathOutsidePeerApiIsNotFound() {
    controller.startAsFollower();
    var peerResponse = controller.requestAsPeer("POST", "/peer/else", toCbor(LEADER_HELLO));
    peerResponse.assertIs(404, errorBody("no such path: /peer/else"));
    var operatorResponse = controller.requestAsOperator("GET", "/work/wk-1", null);
    operatorResponse.assertIs(404, errorBody("no such path: /work/wk-1"));
  }

  // Fields of responses

  /** The controller is elected if both peers grant their votes, and not if neither does. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"node\":\"n-1\",\"life\":\"1f\",\"n\":1,\"served\":true,\"served_s\":0,\"granted\":true} | true",
        "{\"life\":\"1f\",\"granted\":true} | true",
        "{\"life\":\"1f\",\"granted\":false} | false",
        "{\"life\":\"1f\"} | false",
        "{\"granted\":true} | false",
        "[] | false"
      })
  void voteResponseFieldsDecideElection(String vote, boolean leads) {
    controller.state.put("t/term", jsonObject("{\"Node\":\"n-9\",\"Life\":\"9f\",\"Term\":6}"));
    controller.peerResponder = request -> new Response(200, toCbor(vote));
    controller.start();
    controller.loop.advance(2);
    assertEquals(leads, isLeading());
  }

  /**
   * In an outage of the state service, a leader keeps leading for a while if its peers grant their
   * leases, longer if they also report all cancellations, but not if the service serves the peers.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"node\":\"n-1\",\"life\":\"1f\",\"served_s\":1000,\"granted\":true} | 10 | true",
        "{\"node\":\"n-1\",\"life\":\"1f\",\"served_s\":1000,\"granted\":false} | 10 | false",
        "{\"node\":\"n-1\",\"life\":\"1f\",\"served_s\":0,\"granted\":true} | 10 | false",
        "{\"granted\":true} | 30 | false",
        "{\"granted\":true,\"cancelled\":[],\"cancelled_s\":100} | 30 | true",
        "{\"granted\":true,\"cancelled\":[],\"cancelled_s\":0.5} | 30 | false",
        "{\"granted\":true,\"cancelled\":7,\"cancelled_s\":100} | 30 | false"
      })
  void helloResponseFieldsDecideLeadershipInOutage(String hello, int outageS, boolean leads) {
    controller.peerResponder = request -> new Response(200, toCbor(hello));
    controller.start();
    controller.loop.advance(2);
    assertTrue(isLeading());
    controller.state.unavailableFor = (method, path) -> true;
    controller.loop.advance(outageS);
    assertEquals(leads, isLeading());
  }

  @Test
  void cancellationInHelloResponseKillsTasks() {
    controller.start();
    controller.loop.advance(2);
    FakeWorker worker = controller.launchTask("{}", "running");
    controller.peerResponder =
        request -> new Response(200, toCbor("{\"cancelled\":[\"wk-1\"],\"cancelled_s\":100}"));
    controller.loop.advance(1.5);
    assertEquals("halted", worker.tasks.get("wk-1/0").get("Cause").asText());
  }

  // Relayed heartbeats

  private ControllerResponse relay(String heartbeat) {
    return controller.requestAsOperator("POST", REPORT, heartbeat);
  }

  @Test
  void heartbeatRelayedToLeaderGetsSameResponseAsFromWorker() {
    controller.startAsLeader();
    FakeWorker worker = controller.addWorker("host-1", "10.1.0.1:9000");
    relay(worker.nextHeartbeat()).assertIs(200, "{\"Baton\":1,\"Calls\":[]}");
  }

  @Test
  void heartbeatRelayedToFollowerIsRejectedWithRetryAfter() {
    controller.startAsFollower();
    relay(resource("report.json")).assertRetryLater(503, "not the leader");
  }

  @Test
  void malformedRelayedHeartbeatIsRejected() {
    controller.startAsLeader();
    relay("{}").assertIs(400, errorBody("Cadre: is missing"));
  }
}
