package org.saffronshore.http;

import com.fasterxml.jackson.databind.JsonNode;
import org.saffronshore.wire.Json;

/**
 * What became of a request of ours. A request that was not sent cannot take effect; one that was
 * lost may have taken effect, or may yet do so at any later time.
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed on, never compared or changed.
public record Response(int status, byte[] body) {
  public static final Response NOT_SENT = new Response(-1, new byte[0]);
  public static final Response LOST = new Response(0, new byte[0]);

  /** Receives the answer on the loop. */
  @FunctionalInterface
  public interface Callback {
    void onResponse(Response answer);
  }

  public boolean ok() {
    return status == 200;
  }

  public boolean lost() {
    return status == 0;
  }

  public JsonNode json() {
    return Json.parse(body);
  }
}
