package org.saffronshore.http;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Address;

/** Sends HTTP requests. */
public interface Client {

  /**
   * Sends a request.
   *
   * @param body null for none
   * @param timeoutS seconds after which the request counts as lost
   * @param callback is called exactly once, on the event loop
   */
  void send(
      Address peer,
      String method,
      String path,
      byte @Nullable [] body,
      double timeoutS,
      Response.Callback callback);
}
