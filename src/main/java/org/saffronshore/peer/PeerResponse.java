package org.saffronshore.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The response of a controller to a {@link PeerMessage}.
 *
 * @param sender the fields about the responding controller, whose node and incarnation may be null
 * @param leaseGranted whether the responding controller grants its lease to the sender of the
 *     message
 * @param cancellations the cancellations that the responding controller knows of, if the message is
 *     from a leader; null otherwise
 */
public record PeerResponse(
    PeerMessage sender, boolean leaseGranted, @Nullable Cancellations cancellations) {

  /**
   * The cancellations that a controller learned of recently.
   *
   * @param jobs the ids of the cancelled jobs
   * @param completeForS the duration up to now for which no cancellation is missing, in seconds
   */
  public record Cancellations(List<String> jobs, double completeForS) {}

  /**
   * Reads a response. Fields that an earlier version does not send count as unknown.
   *
   * @throws InvalidFieldException if the body is not an object in CBOR
   */
  public static PeerResponse parse(byte @Nullable [] body) throws InvalidFieldException {
    JsonNode response = body == null ? null : Json.parseCbor(body);
    if (response == null || !response.isObject()) {
      throw new InvalidFieldException("body", "must be an object in CBOR");
    }
    return new PeerResponse(
        PeerMessage.parse(response), Json.bool(response, "granted"), cancellations(response));
  }

  private static @Nullable Cancellations cancellations(JsonNode response) {
    if (!response.path("cancelled").isArray()) {
      return null;
    }
    List<String> jobs = new ArrayList<>();
    response.get("cancelled").forEach(id -> jobs.add(id.asText()));
    return new Cancellations(jobs, Json.number(response, "cancelled_s", 0));
  }

  /** Returns the response in the form in which it is sent. */
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
