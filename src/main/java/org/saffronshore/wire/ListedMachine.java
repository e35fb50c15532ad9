package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * An entry of the cloud's list of machines. The address, type and zone are null if the cloud does
 * not list them.
 *
 * @param failed whether the cloud lists the machine as failed, that is, as having stopped without a
 *     return request
 * @param rentedForS seconds from the rental request to the time that the list describes; 0 if the
 *     cloud does not list the time
 */
public record ListedMachine(
    String id,
    @Nullable String address,
    @Nullable String type,
    @Nullable String zone,
    boolean spot,
    boolean failed,
    double rentedForS) {

  private static final String STATUS_FAILED = "failed";

  /** Reads one entry of the list; empty if it has no machine id. */
  static Optional<ListedMachine> parse(JsonNode entry) {
    String id = Json.text(entry, "Uid");
    if (id == null) {
      return Optional.empty();
    }
    return Optional.of(
        new ListedMachine(
            id,
            Json.text(entry, "Address"),
            Json.text(entry, "Rig"),
            Json.text(entry, "Depot"),
            Json.bool(entry, "Loaner"),
            STATUS_FAILED.equals(Json.text(entry, "Status")),
            Json.number(entry, "HeldS", 0)));
  }
}
