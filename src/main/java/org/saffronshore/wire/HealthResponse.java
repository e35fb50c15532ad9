package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The response to a health check that this controller passes. */
public record HealthResponse() {

  /** The form in which it is sent. */
  public ObjectNode toJson() {
    return Json.object().put("ok", true);
  }
}
