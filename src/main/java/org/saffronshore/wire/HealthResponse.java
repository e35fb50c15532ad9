package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The response of a healthy controller to a health check. */
public record HealthResponse() {

  /** Returns the body of the response. */
  public ObjectNode toJson() {
    return Json.object().put("ok", true);
  }
}
