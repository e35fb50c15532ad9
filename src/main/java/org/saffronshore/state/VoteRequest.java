package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.wire.Json;

/**
 * A candidate's request for votes that is written to the state service.
 *
 * @param number distinguishes the requests of one process
 */
public record VoteRequest(String node, String incarnation, long term, long number) {

  /** Reads a stored value; what is missing is null, and the term -1. */
  public static VoteRequest parse(JsonNode stored) {
    return new VoteRequest(
        Json.text(stored, "Node"),
        Json.text(stored, "Life"),
        Json.integer(stored, "Term", -1),
        Json.integer(stored, "N", 0));
  }

  /** The stored form. */
  public ObjectNode toJson() {
    return Json.object()
        .put("Node", node)
        .put("Life", incarnation)
        .put("Term", term)
        .put("N", number);
  }

  /** The stored form of a vote for this request. */
  public ObjectNode toVote() {
    return Json.object()
        .put("Term", term)
        .put("To", node)
        .put("Life", incarnation)
        .put("N", number);
  }

  /** Whether a stored vote is for this request. */
  public boolean isVotedForBy(JsonNode vote) {
    return Json.integer(vote, "Term", -1) == term
        && node.equals(Json.text(vote, "To"))
        && incarnation.equals(Json.text(vote, "Life"))
        && Json.integer(vote, "N", -1) == number;
  }
}
