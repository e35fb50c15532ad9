package org.saffronshore.http;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;

/** A client that sends HTTP requests. */
public interface Client {

  /**
   * Sends a request.
   *
   * @param body the request body, or null if there is none
   * @param timeoutS the time in seconds for connecting and receiving the response, after which the
   *     outcome is {@link Response#NOT_SENT} or {@link Response#LOST}
   * @param callback called exactly once, on the event loop
   */
  void send(
      Address peer,
      String method,
      String path,
      byte @Nullable [] body,
      double timeoutS,
      Response.Callback callback);
}
