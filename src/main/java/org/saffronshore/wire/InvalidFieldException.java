package org.saffronshore.wire;

import org.jspecify.annotations.NullMarked;

/** Thrown when a field of a message, a stored value or the settings is missing or invalid. */
@NullMarked
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String field;
  private final String problem;

  /**
   * Creates an exception that names a field and its problem.
   *
   * @param field the path of the field, or {@code body} for the message as a whole
   * @param problem the rest of a sentence whose subject is the field, such as "must be a number"
   */
  public InvalidFieldException(String field, String problem) {
    super(null, null, false, false);
    this.field = field;
    this.problem = problem;
  }

  /** Returns the path of the field, or {@code body} for the message as a whole. */
  public String field() {
    return field;
  }

  /** Returns the path of the field and its problem, separated by a colon. */
  @Override
  public String getMessage() {
    return field + ": " + problem;
  }
}
