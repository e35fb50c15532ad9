package org.saffronshore.wire;

/** Priority classes, lowest first, so that the ordinal is the rank. */
public enum Priority {
  IDLE("idle"),
  STANDARD("standard"),
  URGENT("urgent"),
  CRITICAL("critical");

  private final String wireName;

  Priority(String wire) {
    this.wireName = wire;
  }

  public String wireName() {
    return wireName;
  }

  /** Reads the name that the protocol uses. */
  public static Priority fromWireName(String text) throws InvalidFieldException {
    for (Priority p : values()) {
      if (p.wireName.equals(text)) {
        return p;
      }
    }
    throw new InvalidFieldException("Urgency", "must be critical, urgent, standard or idle");
  }
}
