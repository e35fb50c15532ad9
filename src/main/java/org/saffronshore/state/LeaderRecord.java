package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.wire.Json;

/**
 * Who leads, or led last: the value of the leader's key and of the term's key.
 *
 * @param node null when it is not known
 * @param incarnation distinguishes the process from earlier ones of the same node
 */
public record LeaderRecord(String node, String incarnation, long term) {

  /** Reads a stored value; what is missing is null, and the term -1. */
  public static LeaderRecord parse(JsonNode stored) {
    return new LeaderRecord(
        Json.text(stored, "Node"), Json.text(stored, "Life"), Json.integer(stored, "Term", -1));
  }

  /** The stored form. */
  public ObjectNode toJson() {
    return Json.object().put("Node", node).put("Life", incarnation).put("Term", term);
  }
}
