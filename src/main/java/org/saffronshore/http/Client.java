package org.saffronshore.http;

import org.saffronshore.config.Address;

/** Sends requests. The receiver is called exactly once, on the loop. */
public interface Client {

  void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback receiver);
}
