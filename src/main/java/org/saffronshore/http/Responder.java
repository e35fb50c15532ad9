package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/**
 * Where the one response to a request goes. It may be sent at any later time, on the event loop;
 * further ones are ignored.
 */
@FunctionalInterface
public interface Responder {
  String CONTENT_TYPE_JSON = "application/json";

  /**
   * Sends the response.
   *
   * @param contentType the media type of the body
   * @param retryAfterS seconds for {@code Retry-After}; 0 for none
   */
  void send(int status, String contentType, byte[] body, int retryAfterS);

  /** Whether the other side still waits: it closes the connection when it gives up. */
  default boolean isConnected() {
    return true;
  }

  /** Sends a JSON body. */
  default void json(int status, JsonNode body) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(body), 0);
  }

  /** Sends a refusal that is final. */
  default void error(int status, String problem) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), 0);
  }

  /** Sends a refusal that tells after how many seconds to retry. */
  default void retryLater(int status, String problem, int retryAfterS) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), retryAfterS);
  }
}
