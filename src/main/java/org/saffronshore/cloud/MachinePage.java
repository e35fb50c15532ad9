package org.saffronshore.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * A part of the cloud's list of machines, in the order of their names; {@code last} if it is the
 * end.
 */
public record MachinePage(List<ListedMachine> machines, boolean isLast) {

  /**
   * A machine as the cloud lists it.
   *
   * @param failed whether it has stopped of its own accord
   * @param rentedForS its age since the rental request, at the time that the list describes
   */
  public record ListedMachine(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      boolean failed,
      double rentedForS) {

    private static ListedMachine parse(JsonNode listed) {
      return new ListedMachine(
          Json.text(listed, "Uid"),
          Json.text(listed, "Address"),
          Json.text(listed, "Rig"),
          Json.text(listed, "Depot"),
          Json.bool(listed, "Loaner"),
          "failed".equals(Json.text(listed, "Status")),
          Json.number(listed, "HeldS", 0));
    }
  }

  /** Empty when the list could not be had. */
  static Optional<MachinePage> of(Response answer) {
    JsonNode body = answer.ok() ? answer.json() : null;
    if (body == null || !body.path("Cadres").isArray()) {
      return Optional.empty();
    }
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode listed : body.get("Cadres")) {
      ListedMachine machine = ListedMachine.parse(listed);
      if (machine.id() != null) {
        machines.add(machine);
      }
    }
    return Optional.of(new MachinePage(machines, !Json.bool(body, "Truncated")));
  }
}
