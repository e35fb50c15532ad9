package org.saffronshore.wire;

/** Priority classes, lowest first. */
public enum Priority {
  IDLE("idle", 0),
  STANDARD("standard", 1),
  URGENT("urgent", 2),
  CRITICAL("critical", 3);

  private final String wireName;
  private final int rank;

  Priority(String wireName, int rank) {
    this.wireName = wireName;
    this.rank = rank;
  }

  /** The rank of the class; a higher one may preempt a lower one. */
  public int rank() {
    return rank;
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
