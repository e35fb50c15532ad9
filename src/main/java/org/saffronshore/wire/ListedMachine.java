package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A machine as the cloud lists it. Everything but the id is null where the cloud does not say it.
 *
 * @param failed whether the machine has stopped by itself
 * @param rentedForS seconds since the rental request, at the time that the list describes
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

  /** Reads one entry of the list; empty when it names no machine. */
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
