package org.saffronshore.wire;

import org.jspecify.annotations.NullMarked;

/** A message or settings field that is missing or has a value that it may not have. */
@NullMarked
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String field;
  private final String problem;

  /**
   * Names a field and what is wrong with it.
   *
   * @param field the path of the field, or {@code body} for the message as a whole
   * @param problem continues a sentence that begins with the field
   */
  public InvalidFieldException(String field, String problem) {
    super(null, null, false, false);
    this.field = field;
    this.problem = problem;
  }

  /** The path of the field. */
  public String field() {
    return field;
  }

  /** The field, and what is wrong with it. */
  @Override
  public String getMessage() {
    return field + ": " + problem;
  }
}
