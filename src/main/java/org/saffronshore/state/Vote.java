package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * A controller's vote for a {@link VoteRequest}: the value of its key under {@link Keys#VOTES}.
 *
 * @param term the term of the request; -1 when it is not known
 * @param candidate the candidate's name; null when it is not known
 * @param incarnation the candidate's incarnation; null when it is not known
 * @param number the number of the request; -1 when it is not known
 */
public record Vote(
    long term, @Nullable String candidate, @Nullable String incarnation, long number) {
  private static final String TERM_FIELD = "Term";
  private static final String CANDIDATE_FIELD = "To";
  private static final String INCARNATION_FIELD = "Life";
  private static final String NUMBER_FIELD = "N";

  /** Reads a stored value. The value of a missing field is not known. */
  public static Vote parse(JsonNode stored) {
    return new Vote(
        Json.integer(stored, TERM_FIELD, -1),
        Json.text(stored, CANDIDATE_FIELD),
        Json.text(stored, INCARNATION_FIELD),
        Json.integer(stored, NUMBER_FIELD, -1));
  }

  /** Returns the stored form. */
  public ObjectNode toJson() {
    return Json.object()
        .put(TERM_FIELD, term)
        .put(CANDIDATE_FIELD, candidate)
        .put(INCARNATION_FIELD, incarnation)
        .put(NUMBER_FIELD, number);
  }
}
