package org.saffronshore.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * What became of a rental request.
 *
 * @param machines the names of the rented machines, fewer than asked for where the cloud has no
 *     more
 */
public record RentalResult(Outcome outcome, List<String> machines) {

  /** UNKNOWN: it may have been carried out, and has to be repeated under the same name. */
  public enum Outcome {
    RENTED,
    NO_CAPACITY,
    MALFORMED,
    UNKNOWN
  }

  static RentalResult of(Response answer) {
    JsonNode body = answer.json();
    List<String> machines = new ArrayList<>();
    if (answer.ok() && body != null) {
      body.path("Cadres").forEach(name -> machines.add(name.asText()));
      return new RentalResult(Outcome.RENTED, machines);
    }
    if (answer.status() == 503 && body != null && "no capacity".equals(Json.text(body, "error"))) {
      return new RentalResult(Outcome.NO_CAPACITY, machines);
    }
    return new RentalResult(answer.status() == 400 ? Outcome.MALFORMED : Outcome.UNKNOWN, machines);
  }
}
