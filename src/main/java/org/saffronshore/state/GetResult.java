package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * What the state service says of one key.
 *
 * @param value null unless the key was found
 * @param version the revision of the key's last change; 0 unless it was found
 * @param leaseId the lease that the key is attached to; 0 for none
 */
public record GetResult(Presence presence, JsonNode value, long version, long leaseId) {

  /** Whether the key exists; UNKNOWN when the state service did not tell. */
  public enum Presence {
    FOUND,
    MISSING,
    UNKNOWN
  }

  static GetResult of(Response answer) {
    JsonNode body = answer.ok() ? answer.json() : null;
    if (body != null && body.has("Data")) {
      return new GetResult(
          Presence.FOUND,
          body.get("Data"),
          Json.integer(body, "Stamp", 0),
          Json.integer(body, "Permit", 0));
    }
    return new GetResult(answer.status() == 404 ? Presence.MISSING : Presence.UNKNOWN, null, 0, 0);
  }

  public boolean isFound() {
    return presence == Presence.FOUND;
  }

  public boolean isMissing() {
    return presence == Presence.MISSING;
  }

  public boolean isUnknown() {
    return presence == Presence.UNKNOWN;
  }
}
