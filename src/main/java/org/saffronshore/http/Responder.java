package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/** Where the one answer to a request goes; it may be given at any later time, on the loop. */
@FunctionalInterface
public interface Responder {
  String CONTENT_TYPE_JSON = "application/json";

  void send(int status, String type, byte[] body, int retryAfterS);

  /** Whether the other side still waits: it closes the connection when it has gone elsewhere. */
  default boolean isConnected() {
    return true;
  }

  default void json(int status, JsonNode body) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(body), 0);
  }

  default void error(int status, String problem) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), 0);
  }

  /** A refusal that tells when to come back. */
  default void retryLater(int status, String problem, int retryAfterS) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), retryAfterS);
  }
}
