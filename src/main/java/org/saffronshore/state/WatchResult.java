package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * What a watch on a prefix has brought.
 *
 * @param revision from which the next watch continues
 */
public record WatchResult(Outcome outcome, long revision, List<Event> events) {

  /** TOO_OLD: the keys have to be read again. */
  public enum Outcome {
    RECEIVED,
    COMPACTED,
    UNKNOWN
  }

  /** A key that was set, or removed if the value is null. */
  public record Event(String key, JsonNode value, long version) {}

  static WatchResult of(Response answer, long after) {
    JsonNode body = answer.ok() ? answer.json() : null;
    if (body == null || !body.path("Events").isArray()) {
      return new WatchResult(
          answer.status() == 410 ? Outcome.COMPACTED : Outcome.UNKNOWN, after, List.of());
    }
    List<Event> changes = new ArrayList<>();
    for (JsonNode event : body.get("Events")) {
      String set = Json.text(event, "Set");
      String key = set != null ? set : Json.text(event, "Remove");
      if (key != null) {
        JsonNode value = set != null ? event.path("Data") : null;
        changes.add(new Event(key, value, Json.integer(event, "Stamp", 0)));
      }
    }
    return new WatchResult(Outcome.RECEIVED, Json.integer(body, "Ledger", after), changes);
  }

  public boolean isReceived() {
    return outcome == Outcome.RECEIVED;
  }
}
