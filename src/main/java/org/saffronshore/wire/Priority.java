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

  /**
   * Returns the rank of the class, from 0; tasks of a higher rank may preempt tasks of a lower
   * rank.
   */
  public int rank() {
    return rank;
  }

  /** Returns the name of the class in messages. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the class with the given name in messages.
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
