package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.http.Answer;
import org.saffronshore.wire.Json;

/**
 * What the state service says of one key.
 *
 * @param value null unless the key was found
 * @param version the revision of the key's last change; 0 unless it was found
 * @param lease the lease that the key is attached to; 0 for none
 */
public record KeyState(Presence presence, JsonNode value, long version, long lease) {

  /** Whether the key exists; UNKNOWN when the state service did not tell. */
  public enum Presence {
    FOUND,
    MISSING,
    UNKNOWN
  }

  static KeyState of(Answer answer) {
    JsonNode body = answer.ok() ? answer.json() : null;
    if (body != null && body.has("Data")) {
      return new KeyState(
          Presence.FOUND,
          body.get("Data"),
          Json.count(body, "Stamp", 0),
          Json.count(body, "Permit", 0));
    }
    return new KeyState(answer.status() == 404 ? Presence.MISSING : Presence.UNKNOWN, null, 0, 0);
  }

  public boolean found() {
    return presence == Presence.FOUND;
  }

  public boolean missing() {
    return presence == Presence.MISSING;
  }

  public boolean unknown() {
    return presence == Presence.UNKNOWN;
  }
}
