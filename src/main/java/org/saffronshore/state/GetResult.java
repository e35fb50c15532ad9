package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * The result of reading one key.
 *
 * @param value the stored form; null unless the key was found
 * @param version the revision of the key's last change; 0 unless the key was found
 * @param leaseId the lease that the key is attached to; 0 for none
 */
public record GetResult(Presence presence, @Nullable JsonNode value, long version, long leaseId) {

  /** Whether the key exists. */
  public enum Presence {
    FOUND,
    MISSING,

    /**
     * The request was not sent, got no response, or got one with neither a value nor status 404.
     */
    UNKNOWN
  }

  static GetResult parse(Response response) {
    JsonNode body = response.isOk() ? response.json() : null;
    if (body != null && body.has(ProtocolFields.VALUE)) {
      return new GetResult(
          Presence.FOUND,
          body.get(ProtocolFields.VALUE),
          Json.integer(body, ProtocolFields.VERSION, 0),
          Json.integer(body, ProtocolFields.LEASE, 0));
    }
    Presence presence = response.status() == 404 ? Presence.MISSING : Presence.UNKNOWN;
    return new GetResult(presence, null, 0, 0);
  }

  /**
   * Returns the stored form of a key that was found.
   *
   * @throws IllegalStateException when the key was not found
   */
  @Override
  public JsonNode value() {
    if (value == null) {
      throw new IllegalStateException(
          "key has no value: expected presence FOUND, found " + presence);
    }
    return value;
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
