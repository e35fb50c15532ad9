package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.saffronshore.wire.Json;

/**
 * The current leader, or the last one: the value of {@link Keys#LEADER} and of {@link Keys#TERM}.
 *
 * @param controller the controller's name; null when it is not known
 * @param incarnation distinguishes the process from earlier ones of the same controller; null when
 *     it is not known
 * @param term the term number, or the last fencing token that is reserved for the term in {@link
 *     Keys#TERM}; -1 when it is not known
 */
public record LeaderRecord(@Nullable String controller, @Nullable String incarnation, long term) {
  private static final String CONTROLLER_FIELD = "Node";
  private static final String INCARNATION_FIELD = "Life";
  private static final String TERM_FIELD = "Term";

  /** Reads a stored value. The value of a missing field is not known. */
  public static LeaderRecord parse(JsonNode stored) {
    return new LeaderRecord(
        Json.text(stored, CONTROLLER_FIELD),
        Json.text(stored, INCARNATION_FIELD),
        Json.integer(stored, TERM_FIELD, -1));
  }

  /** Returns a record of the same process with another term number. */
  public LeaderRecord withTerm(long number) {
    return new LeaderRecord(controller, incarnation, number);
  }

  /** Returns the stored form. */
  public ObjectNode toJson() {
    return Json.object()
        .put(CONTROLLER_FIELD, controller)
        .put(INCARNATION_FIELD, incarnation)
        .put(TERM_FIELD, term);
  }
}
