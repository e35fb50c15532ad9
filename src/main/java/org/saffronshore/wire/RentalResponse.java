package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The cloud's response to a rental request.
 *
 * @param machines the ids of the rented machines
 * @param noCapacity whether the response is the error "no capacity": the cloud has no machine of
 *     this kind left
 */
public record RentalResponse(List<String> machines, boolean noCapacity) {

  /** Reads the body of a response, successful or not; empty if it is not one JSON value. */
  public static Optional<RentalResponse> parse(byte[] body) {
    JsonNode tree = Json.parse(body);
    if (tree == null) {
      return Optional.empty();
    }
    List<String> machines = new ArrayList<>();
    tree.path("Cadres").forEach(id -> machines.add(id.asText()));
    return Optional.of(
        new RentalResponse(machines, "no capacity".equals(Json.text(tree, "error"))));
  }
}
