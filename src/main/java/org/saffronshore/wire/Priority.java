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

  /** The rank of the class, from 0; one of higher rank may preempt one of lower rank. */
  public int rank() {
    return rank;
  }

  /** The name that the protocol uses. */
  public String wireName() {
    return wireName;
  }

  /**
   * The class of a name that the protocol uses.
   *
   * @throws InvalidFieldException if there is no such class
   */
  public static Priority fromWireName(String text) throws InvalidFieldException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(text)) {
        return priority;
      }
    }
    throw new InvalidFieldException("Urgency", "must be critical, urgent, standard or idle");
  }
}
