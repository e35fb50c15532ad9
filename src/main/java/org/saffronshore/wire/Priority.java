package org.saffronshore.wire;

/** Priority classes, lowest first, so that the ordinal is the rank. */
public enum Priority {
  IDLE("idle"),
  STANDARD("standard"),
  URGENT("urgent"),
  CRITICAL("critical");

  private final String wire;

  Priority(String wire) {
    this.wire = wire;
  }

  public String wire() {
    return wire;
  }

  /** Reads the name that the protocol uses. */
  public static Priority of(String text) throws InvalidField {
    for (Priority p : values()) {
      if (p.wire.equals(text)) {
        return p;
      }
    }
    throw new InvalidField("Urgency", "must be critical, urgent, standard or idle");
  }
}
