package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/**
 * Sends the response to one request. The response may be sent at any later time, on the event loop;
 * only the first response is sent, further ones are ignored.
 */
@FunctionalInterface
public interface Responder {
  String CONTENT_TYPE_JSON = "application/json";

  /**
   * Sends the response.
   *
   * @param contentType the media type of the body
   * @param retryAfterS the value of the {@code Retry-After} header in seconds, or 0 for no header
   */
  void send(int status, String contentType, byte[] body, int retryAfterS);

  /**
   * Returns whether the client still waits for the response. A client that gives up closes its
   * connection.
   */
  default boolean isConnected() {
    return true;
  }

  /** Sends a response with a JSON body. */
  default void json(int status, JsonNode body) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(body), 0);
  }

  /** Sends an error response to a request that should not be retried. */
  default void error(int status, String problem) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), 0);
  }

  /** Sends the error response to a request for a path that is not served. */
  default void notFound(Request request) {
    error(404, "no such path: " + request.path());
  }

  /**
   * Sends the error response to a request whose method its path does not allow.
   *
   * @param expected the allowed methods, as the response names them
   */
  default void methodNotAllowed(Request request, String expected) {
    error(
        405,
        "method "
            + request.method()
            + " not allowed for "
            + request.path()
            + ": expected "
            + expected);
  }

  /** Sends an error response that asks the client to retry after a number of seconds. */
  default void retryLater(int status, String problem, int retryAfterS) {
    send(status, CONTENT_TYPE_JSON, Json.bytes(Json.object().put("error", problem)), retryAfterS);
  }
}
