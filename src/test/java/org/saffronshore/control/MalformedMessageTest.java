package org.saffronshore.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.peer.PeerMessage;
import org.saffronshore.peer.PeerResponse;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;
import org.saffronshore.wire.Priority;

/** Malformed stored values and peer messages are logged and do not stop a controller. */
class MalformedMessageTest extends ClusterSimulation {

  private static JsonNode json(String text) {
    return Json.parse(text.replace('\'', '"').getBytes(UTF_8));
  }

  /** Part of a record is malformed: the next leader ignores that part and uses the rest. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "p/0 | {'garbage':1,'wk-1/x':'Aw==','wk-1/0':7}",
        "p/0 | {'wk-1/0':'!'}",
        "p/x | {'wk-1/0':'Aw=='}",
        "p/0 | 'text'",
        "q/0 | {'wk-1/0':{'Bits':[],'Piece':'x'},'wk-1':{}}",
        "b/0 | {'wk-1':'x','wk-7':-1}",
        "r/0 | {'host-7':{'At':'soon','Held':'x'},'host-8':3,'host-9':{'At':1,'Held':['wk-1']}}",
        "j/wk-9 | 'text'",
        "j/wk-9 | {'At':5,'Spec':{'Uid':'wk-9'}}",
        "f/wk-8 | {'State':7}",
        "o/settings | {'period_s':'x'}",
        "m/types | {'Rigs':7}",
        "t/term | {'Term':'x'}",
        "e/call | 'text'"
      })
  void jobRunsWhenAStoredRecordIsMalformed(String key, String value) throws InvalidFieldException {
    JsonNode spec = TestData.job("wk-1", "red", Priority.STANDARD, 2, 4).toJson();
    state.put("j/wk-1", Json.object().put("At", 0).set("Spec", spec));
    state.put("b/0", json("{'wk-1':2}"));
    state.put(key, json(value));
    process = new ControllerProcess("n-0");
    loop.advance(2 * TestData.LEASE_S + DEFAULT_RUNTIME_S + 20);
    assertEquals("done", process.request("GET", "/work/wk-1", null, 200).get("Status").asText());
    assertEquals(2, startedTasks.size(), startedTasks.toString());
  }

  /** If the launch watermark of a job is malformed, any of its tasks may have been launched. */
  @Test
  void tasksWaitForTheWorkerLeaseWhenTheLaunchWatermarkIsMalformed() throws InvalidFieldException {
    JsonNode spec = TestData.job("wk-1", "red", Priority.STANDARD, 2, 4).toJson();
    state.put("j/wk-1", Json.object().put("At", 0).set("Spec", spec));
    state.put("b/0", json("{'wk-1':'x'}"));
    state.put("r/0", json("{'host-7':{'At':1}}"));
    process = new ControllerProcess("n-0");
    loop.advance(TestData.LEASE_S / 2);
    assertEquals(0, startedTasks.size(), "host-7 may hold the tasks until its lease has expired");
    loop.advance(2 * TestData.LEASE_S + DEFAULT_RUNTIME_S);
    assertEquals(2, startedTasks.size());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "7 | body",
        "[] | body",
        "{} | node",
        "{'node':3,'life':'x'} | node",
        "{'node':'n-1'} | life",
        "{'node':'n-1','life':[]} | life"
      })
  void peerMessageIsRejectedWhenTheSenderIsMissing(String message, String field)
      throws InvalidFieldException {
    byte[] body = Json.cbor(json(message));
    assertEquals(
        field, assertThrows(InvalidFieldException.class, () -> PeerMessage.parse(body)).field());
    process = new ControllerProcess("n-0", true);
    int[] status = {0};
    process.controller.handlePeer(
        new Request("POST", "/peer/vote", body),
        (code, type, bytes, retryAfterS) -> status[0] = code);
    assertEquals(400, status[0]);
  }

  /** Fields that are missing or have a wrong type are treated as unknown. */
  @Test
  void malformedFieldsOfPeerMessagesAreTreatedAsUnknown() throws InvalidFieldException {
    PeerMessage message =
        PeerMessage.parse(
            Json.cbor(json("{'node':'n-1','life':'x','term':'y','jobs':{'wk-1':7,'wk-2':[1,2]}}")));
    assertEquals(PeerMessage.NO_TERM, message.term());
    assertEquals(Double.POSITIVE_INFINITY, message.stateServiceAvailableAgoS());
    assertEquals(2, message.jobProgress().get("wk-2").running());
    assertEquals(0, message.jobProgress().get("wk-1").done());
    PeerResponse response = PeerResponse.parse(Json.cbor(json("{'cancelled':'wk-1'}")));
    assertTrue(!response.leaseGranted() && response.cancellations() == null);
  }

  @Test
  void peerMessageAndResponseAreReadAsTheyWereWritten() throws InvalidFieldException {
    PeerMessage message =
        new PeerMessage("n-1", "x", 4, true, 0.5, 7, Map.of("wk-1", new JobProgress(1, 2)));
    assertEquals(message, PeerMessage.parse(message.toCbor()));
    PeerResponse response =
        new PeerResponse(message, true, new PeerResponse.Cancellations(List.of("wk-9"), 3.5));
    assertEquals(response, PeerResponse.parse(response.toCbor()));
  }
}
