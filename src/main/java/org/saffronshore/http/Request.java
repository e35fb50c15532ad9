package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * An HTTP request as its handler receives it.
 *
 * @param path the path without the query string
 * @param body the request body, or null if there is none; {@link HttpServer} passes an empty array
 *     for a request without a body
 */
@SuppressWarnings("ArrayRecordComponent") // The body is never compared or modified.
public record Request(String method, String path, byte @Nullable [] body) {

  /** Returns the body as a JSON tree, or null if it is not exactly one JSON value. */
  public @Nullable JsonNode json() {
    return body == null ? null : Json.parse(body);
  }

  public boolean hasMethod(String expected) {
    return method.equals(expected);
  }
}
