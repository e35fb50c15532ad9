package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A request to the cloud to take back rented machines.
 *
 * @param machines the ids of the machines
 */
public record ReturnRequest(List<String> machines) {

  /** Returns the body of the request. */
  public byte[] toBytes() {
    ObjectNode body = Json.object();
    ArrayNode ids = body.putArray("Cadres");
    machines.forEach(ids::add);
    return Json.bytes(body);
  }
}
