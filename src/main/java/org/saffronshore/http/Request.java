package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/** A request as its handler sees it; {@code body} is null when it was longer than a body may be. */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on, never compared or changed.
public record Request(String method, String path, byte[] body) {

  public JsonNode json() {
    return body == null ? null : Json.parse(body);
  }

  public boolean hasMethod(String wantedMethod) {
    return method.equals(wantedMethod);
  }
}
