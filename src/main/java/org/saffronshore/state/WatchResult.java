package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * The result of a watch on a prefix.
 *
 * @param revision the revision from which the next watch continues
 * @param events the changes, in the order in which they were made; empty unless they were received
 */
public record WatchResult(Outcome outcome, long revision, List<Event> events) {

  /** Whether the watch received a list of changes, which may be empty. */
  public enum Outcome {
    RECEIVED,

    /**
     * The state service no longer has the changes since the requested revision: the keys must be
     * listed.
     */
    COMPACTED,

    /** The state service did not respond, or responded without a list of changes. */
    UNKNOWN
  }

  /**
   * A change of a key.
   *
   * @param value the new stored form; null when the key was deleted
   * @param version the revision of the change
   */
  public record Event(String key, @Nullable JsonNode value, long version) {}

  static WatchResult parse(Response response, long afterRevision) {
    JsonNode body = response.isOk() ? response.json() : null;
    if (body == null || !body.path(ProtocolFields.EVENTS).isArray()) {
      Outcome outcome = response.status() == 410 ? Outcome.COMPACTED : Outcome.UNKNOWN;
      return new WatchResult(outcome, afterRevision, List.of());
    }
    List<Event> events = new ArrayList<>();
    for (JsonNode event : body.get(ProtocolFields.EVENTS)) {
      String putKey = Json.text(event, ProtocolFields.PUT);
      String key = putKey != null ? putKey : Json.text(event, ProtocolFields.DELETE);
      if (key != null) {
        JsonNode value = putKey != null ? event.path(ProtocolFields.VALUE) : null;
        events.add(new Event(key, value, Json.integer(event, ProtocolFields.VERSION, 0)));
      }
    }
    long revision = Json.integer(body, ProtocolFields.REVISION, afterRevision);
    return new WatchResult(Outcome.RECEIVED, revision, events);
  }

  public boolean isReceived() {
    return outcome == Outcome.RECEIVED;
  }
}
