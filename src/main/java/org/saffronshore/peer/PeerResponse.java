package org.saffronshore.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * What a controller answers to a {@link PeerMessage}.
 *
 * @param sender who answers; of it the node may be null
 * @param leaseGranted whether it grants its leader lease
 * @param cancellations what it knows of cancellations, for a leader only; null otherwise
 */
public record PeerResponse(PeerMessage sender, boolean leaseGranted, Cancellations cancellations) {

  /**
   * The cancellations that a controller learned of lately.
   *
   * @param jobs the cancelled jobs
   * @param completeForS for how many seconds back none is missing
   */
  public record Cancellations(List<String> jobs, double completeForS) {}

  /** Reads an answer; fields that an earlier version does not send are taken as not known. */
  public static PeerResponse parse(byte[] body) throws InvalidFieldException {
    JsonNode answer = body == null ? null : Json.parseCbor(body);
    if (answer == null || !answer.isObject()) {
      throw new InvalidFieldException("body", "must be an object in CBOR");
    }
    return new PeerResponse(
        PeerMessage.parse(answer), Json.bool(answer, "granted"), cancellations(answer));
  }

  private static Cancellations cancellations(JsonNode answer) {
    if (!answer.path("cancelled").isArray()) {
      return null;
    }
    List<String> jobs = new ArrayList<>();
    answer.get("cancelled").forEach(id -> jobs.add(id.asText()));
    return new Cancellations(jobs, Json.number(answer, "cancelled_s", 0));
  }

  /** The form in which it is sent. */
  public byte[] toCbor() {
    ObjectNode tree = sender.toTree();
    if (cancellations != null) {
      ArrayNode jobs = tree.putArray("cancelled");
      cancellations.jobs().forEach(jobs::add);
      tree.put("cancelled_s", cancellations.completeForS());
    }
    return Json.cbor(tree.put("granted", leaseGranted));
  }
}
