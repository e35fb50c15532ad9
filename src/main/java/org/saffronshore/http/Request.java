package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * A request as its handler sees it.
 *
 * @param path without the query
 * @param body null when it was longer than a body may be
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on, never compared or changed.
public record Request(String method, String path, byte @Nullable [] body) {

  /** The body as a JSON tree, or null when it is not exactly one JSON value. */
  public @Nullable JsonNode json() {
    return body == null ? null : Json.parse(body);
  }

  public boolean hasMethod(String wantedMethod) {
    return method.equals(wantedMethod);
  }
}
