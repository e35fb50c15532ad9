package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * The outcome of a request that a client sent: the HTTP response, {@link #NOT_SENT} or {@link
 * #LOST}. A request that was not sent cannot take effect. A request that was lost may have taken
 * effect, or may still take effect at any later time.
 *
 * @param status the HTTP status code, or a value below 100 if no response was received
 */
@SuppressWarnings("ArrayRecordComponent") // The body is never compared or modified.
public record Response(int status, byte[] body) {
  private static final int STATUS_NOT_SENT = -1;
  private static final int STATUS_LOST = 0;

  public static final Response NOT_SENT = new Response(STATUS_NOT_SENT, new byte[0]);
  public static final Response LOST = new Response(STATUS_LOST, new byte[0]);

  /** A callback that is called exactly once, on the event loop, with the outcome of a request. */
  @FunctionalInterface
  public interface Callback {
    void onResponse(Response response);
  }

  public boolean isOk() {
    return status == 200;
  }

  /** Returns whether the request was never sent, so that the server cannot have received it. */
  public boolean isNotSent() {
    return status == STATUS_NOT_SENT;
  }

  /** Returns the body as a JSON tree, or null if it is not exactly one JSON value. */
  public @Nullable JsonNode json() {
    return Json.parse(body);
  }
}
