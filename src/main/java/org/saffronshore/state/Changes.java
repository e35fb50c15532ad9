package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.http.Answer;
import org.saffronshore.wire.Json;

/**
 * What a watch on a prefix has brought.
 *
 * @param revision from which the next watch continues
 */
public record Changes(Outcome outcome, long revision, List<Change> changes) {

  /** TOO_OLD: the keys have to be read again. */
  public enum Outcome {
    RECEIVED,
    TOO_OLD,
    UNKNOWN
  }

  /** A key that was set, or removed if the value is null. */
  public record Change(String key, JsonNode value, long version) {}

  static Changes of(Answer answer, long after) {
    JsonNode body = answer.ok() ? answer.json() : null;
    if (body == null || !body.path("Events").isArray()) {
      return new Changes(
          answer.status() == 410 ? Outcome.TOO_OLD : Outcome.UNKNOWN, after, List.of());
    }
    List<Change> changes = new ArrayList<>();
    for (JsonNode event : body.get("Events")) {
      String set = Json.text(event, "Set");
      String key = set != null ? set : Json.text(event, "Remove");
      if (key != null) {
        JsonNode value = set != null ? event.path("Data") : null;
        changes.add(new Change(key, value, Json.count(event, "Stamp", 0)));
      }
    }
    return new Changes(Outcome.RECEIVED, Json.count(body, "Ledger", after), changes);
  }

  public boolean received() {
    return outcome == Outcome.RECEIVED;
  }
}
