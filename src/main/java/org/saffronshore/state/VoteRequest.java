package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * A candidate's request for votes: the value of {@link Keys#VOTE_REQUEST}.
 *
 * @param candidate the candidate's name; null when it is not known
 * @param incarnation distinguishes the process from earlier ones of the same controller; null when
 *     it is not known
 * @param term the term that the candidate wants to lead; -1 when it is not known
 * @param number distinguishes the requests of one process; 0 when it is not known
 */
public record VoteRequest(
    @Nullable String candidate, @Nullable String incarnation, long term, long number) {
  private static final String CANDIDATE_FIELD = "Node";
  private static final String INCARNATION_FIELD = "Life";
  private static final String TERM_FIELD = "Term";
  private static final String NUMBER_FIELD = "N";

  /** Reads a stored value. The value of a missing field is not known. */
  public static VoteRequest parse(JsonNode stored) {
    return new VoteRequest(
        Json.text(stored, CANDIDATE_FIELD),
        Json.text(stored, INCARNATION_FIELD),
        Json.integer(stored, TERM_FIELD, -1),
        Json.integer(stored, NUMBER_FIELD, 0));
  }

  /** Returns the stored form. */
  public ObjectNode toJson() {
    return Json.object()
        .put(CANDIDATE_FIELD, candidate)
        .put(INCARNATION_FIELD, incarnation)
        .put(TERM_FIELD, term)
        .put(NUMBER_FIELD, number);
  }

  /** Returns a vote for this request. */
  public Vote toVote() {
    return new Vote(term, candidate, incarnation, number);
  }
}
