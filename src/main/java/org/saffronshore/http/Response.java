package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * What became of a request of ours. A request that was not sent cannot take effect; one that was
 * lost may have taken effect, or may yet do so at any later time.
 *
 * @param status the HTTP status; a value that is no HTTP status where no response came
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on, never compared or changed.
public record Response(int status, byte[] body) {
  private static final int STATUS_NOT_SENT = -1;
  private static final int STATUS_LOST = 0;

  public static final Response NOT_SENT = new Response(STATUS_NOT_SENT, new byte[0]);
  public static final Response LOST = new Response(STATUS_LOST, new byte[0]);

  /** Receives the response on the event loop, exactly once. */
  @FunctionalInterface
  public interface Callback {
    void onResponse(Response response);
  }

  public boolean isOk() {
    return status == 200;
  }

  /** Whether the request cannot have reached the other side. */
  public boolean isNotSent() {
    return status == STATUS_NOT_SENT;
  }

  /** Whether nobody can tell if the request took effect. */
  public boolean isLost() {
    return status == STATUS_LOST;
  }

  /** The body as a JSON tree, or null when it is not exactly one JSON value. */
  public @Nullable JsonNode json() {
    return Json.parse(body);
  }
}
