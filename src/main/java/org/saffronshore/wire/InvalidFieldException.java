package org.saffronshore.wire;

/** A message or settings field that is missing or has a value that it may not have. */
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;
  private final String field;

  public InvalidFieldException(String field, String problem) {
    super(field + ": " + problem, null, false, false);
    this.field = field;
  }

  public String field() {
    return field;
  }
}
