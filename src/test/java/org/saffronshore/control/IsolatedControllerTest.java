package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.config.Address;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Request;
import org.saffronshore.http.Response;
import org.saffronshore.peer.PeerMessage;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/** A controller that is isolated from the state service, its peers or both. */
class IsolatedControllerTest extends ControllerTestBase {
  /**
   * Starts a controller with an open job and isolates it from the state service and its peers, but
   * not from its workers.
   */
  private void isolate() throws InvalidFieldException {
    process.crashed = true;
    process = new ControllerProcess("n-0", true);
    loop.advance(30);
    addMachine("a");
    loop.advance(10);
    process.request("POST", "/work", job("wk-1", 1).toJson(), 201);
    state.unreachable = true;
  }

  /**
   * Handles a heartbeat of a follower that reports whether the state service is available to it,
   * and how many seconds ago it last was.
   */
  private void receivePeerHeartbeat(long number, boolean available, double availableAgoS) {
    PeerMessage message =
        new PeerMessage("n-1", "x", number, available, availableAgoS, PeerMessage.NO_TERM, null);
    process.controller.handlePeer(
        new Request("POST", "/peer/hello", message.toCbor()),
        (code, type, bytes, retryAfterS) -> assertEquals(200, code));
  }

  /**
   * Returns the status of the response to a worker's heartbeat, which must not name a controller to
   * redirect to.
   */
  private int workerHeartbeatStatus() {
    int[] status = new int[1];
    process.controller.handle(
        new Request(
            "POST", "/v1/report", Json.bytes(workers.values().iterator().next().heartbeat())),
        (code, type, bytes, retryAfterS) -> {
          status[0] = code;
          assertTrue(code == 200 || !Json.parse(bytes).has("Dispatcher"), new String(bytes, UTF_8));
        });
    loop.advance(0.01);
    return status[0];
  }

  /**
   * The leader stops acting when its lease expires. It redirects its workers to no controller, not
   * even to itself.
   */
  @Test
  void isolatedLeaderRefusesHeartbeatsOnceItsLeaseHasExpired() throws InvalidFieldException {
    isolate();
    assertEquals(200, workerHeartbeatStatus());
    loop.advance(TestData.LEASE_S / 5 + 0.1);
    assertEquals(421, workerHeartbeatStatus());
    loop.advance(20);
    assertEquals(421, workerHeartbeatStatus());
    state.unreachable = false;
    loop.advance(20);
    assertEquals(
        200,
        workerHeartbeatStatus(),
        "the controller should lead again, in a new term, after the isolation");
  }

  /**
   * User requests are refused at once instead of after a time-out, and the health check fails so
   * that the load balancer uses other controllers.
   */
  @Test
  void isolatedControllerRefusesUsersWithoutWaiting() throws InvalidFieldException {
    isolate();
    loop.advance(8);
    for (int i = 0; i < 5; i++) {
      double startedAt = loop.now();
      process.request("GET", "/work/wk-1", null, 503);
      process.request("POST", "/work", job("wk-2", 1).toJson(), 503);
      assertTrue(
          loop.now() < startedAt + 0.1, "refused only after " + (loop.now() - startedAt) + " s");
    }
    process.request("GET", "/healthz", null, 503);
    state.unreachable = false;
    loop.advance(5);
    process.request("GET", "/healthz", null, 200);
    process.request("POST", "/work", job("wk-2", 1).toJson(), 201);
  }

  /**
   * After the isolation, the first status that the controller returns is the outcome that other
   * controllers confirmed to users in the meantime.
   */
  @Test
  void controllerBackFromIsolationReturnsOutcomesDecidedMeanwhile() throws InvalidFieldException {
    isolate();
    state.remove("j/wk-1");
    state.put("f/wk-1", Json.object().put("State", "aborted"));
    loop.advance(8);
    process.request("GET", "/work/wk-1", null, 503);
    state.unreachable = false;
    loop.advance(5);
    assertEquals("aborted", status("wk-1"));
  }

  /**
   * The state service last responded to a peer {@code laterS} seconds later than to this
   * controller, which has had no response for 8 s.
   */
  @ParameterizedTest
  @CsvSource({"0.5, 200", "1.5, 200", "7, 503"})
  void healthCheckFailsOnlyIfTheStateServiceServesThePeers(double laterS, int expectedStatus)
      throws InvalidFieldException {
    process.crashed = true;
    process = new ControllerProcess("n-0", true);
    loop.advance(5);
    state.unavailableFor = (method, path) -> true;
    loop.advance(8);
    double servedAgoS = loop.now() - process.controller.state().lastResponseAt() - laterS;
    receivePeerHeartbeat(1, laterS > 5, servedAgoS);
    process.request("GET", "/healthz", null, expectedStatus);
  }

  /**
   * A leader whose peers grant it their leases stops acting if only its own requests to the state
   * service are refused. It continues in an outage that affects every controller.
   */
  @ParameterizedTest
  @CsvSource({"true, 421", "false, 200"})
  void leaderStepsDownIfTheStateServiceServesOnlyItsPeers(boolean peersServed, int expectedStatus)
      throws InvalidFieldException {
    isolate();
    state.unreachable = false;
    state.unavailableFor = (method, path) -> true;
    long term = process.controller.leadership().term();
    for (int i = 0; i < 12; i++) {
      process.controller.leadership().recordGrant("n-1", loop.now());
      receivePeerHeartbeat(i + 1, peersServed, peersServed ? 0.1 : 1e9);
      loop.advance(0.5);
    }
    assertEquals(expectedStatus, workerHeartbeatStatus());
    assertEquals(term, process.controller.leadership().term());
  }

  /**
   * A candidate holds leases of other controllers while it waits for votes. It must not wait for
   * the vote of a peer that stopped responding long ago.
   */
  @Test
  void candidateDoesNotWaitForVotesOfUnresponsivePeers() throws InvalidFieldException {
    Settings settings = Settings.parse(TestData.settingsJson());
    process.crashed = true;
    List<Address> unreachable = new ArrayList<>();
    Controller controller =
        new Controller(
            loop,
            settings,
            (to, method, path, body, timeoutS, callback) -> {
              boolean responds = path.startsWith("/peer/") && !unreachable.contains(to);
              loop.schedule(
                  responds ? 0.001 : timeoutS,
                  () ->
                      callback.onResponse(
                          responds
                              ? new Response(
                                  200,
                                  Json.cbor(Json.object().put("life", "x").put("granted", false)))
                              : Response.NOT_SENT));
            },
            new Random(1));
    controller.peerHeartbeats().start();
    loop.advance(3);
    unreachable.add(settings.peers().get(1).address());
    assertEquals(
        -1,
        votesReceived(controller),
        "the candidate must wait for a peer that responded a moment ago");
    loop.advance(5);
    assertEquals(1, votesReceived(controller));
    unreachable.add(settings.peers().get(0).address());
    loop.advance(5);
    assertEquals(0, votesReceived(controller), "no peer is left to wait for");
  }

  /**
   * Returns the number of votes received within 0.1 s, or -1 if the candidate still waits for more.
   */
  private int votesReceived(Controller controller) {
    int[] count = {-1};
    controller.peerVoting().requestVotes(1, votes -> false, votes -> count[0] = votes.size());
    loop.advance(0.1);
    return count[0];
  }

  /** Sends a peer request and returns whether the lease was granted. */
  private boolean requestIsGranted(
      String path, String candidate, String incarnation, long number, long term) {
    boolean[] granted = new boolean[1];
    process.controller.handlePeer(
        new Request(
            "POST",
            path,
            Json.cbor(
                Json.object()
                    .put("node", candidate)
                    .put("life", incarnation)
                    .put("n", number)
                    .put("term", term)
                    .put("served", true))),
        (code, type, bytes, retryAfterS) ->
            granted[0] = Json.bool(Json.parseCbor(bytes), "granted"));
    return granted[0];
  }

  /**
   * A candidate campaigns, withdraws, campaigns again and becomes leader. Then its withdrawal
   * arrives late or a second time. If the late withdrawal were accepted, the next candidate would
   * be granted a lease that the first one still holds.
   */
  @ParameterizedTest
  @CsvSource({"2, false", "4, true"})
  void lateWithdrawalOfACampaignIsIgnored(long number, boolean accepted)
      throws InvalidFieldException {
    process.crashed = true;
    state.unreachable = true;
    process = new ControllerProcess("n-0", true);
    loop.advance(TestData.LEASE_S / 5 * 1.01);
    assertTrue(requestIsGranted("/peer/vote", "n-1", "x", 1, 7));
    assertFalse(requestIsGranted("/peer/vote", "n-2", "y", 1, 8), "the lease is granted to n-1");
    assertTrue(requestIsGranted("/peer/vote", "n-1", "x", 3, 7));
    requestIsGranted("/peer/giveup", "n-1", "x", number, 7);
    assertEquals(accepted, requestIsGranted("/peer/vote", "n-2", "y", 2, 8));
    assertFalse(
        requestIsGranted("/peer/vote", "n-2", "y", 2, 8),
        "a duplicate request must not be granted");
  }
}
