package org.saffronshore.leadership;

/**
 * The fencing tokens of one term. The first is the number of the term. Later ones are reserved in
 * the state service, in blocks, by raising the number in the term key to the last token of the
 * block; the number of the next term is larger than that. A token of this term therefore belongs to
 * this leader alone, and every token of the next leader is larger.
 *
 * <p>A worker rejects messages whose token is smaller than the largest that it has seen. Within a
 * term the leader raises the token of its messages to a worker so that the worker rejects copies of
 * its own earlier messages.
 */
public final class FencingTokens {
  /**
   * The number of tokens in a block. The token of a machine is raised at most once for each launch,
   * so a block lasts for hours, and half of one for a long outage of the state service.
   */
  private static final long BLOCK_SIZE = 1L << 14;

  private static final long MIN_RESERVE = BLOCK_SIZE / 2;

  private final long first;
  private long lastReserved;

  /** The largest token with which a task was launched; 0 if none was launched in this term. */
  private long largestLaunchToken;

  /**
   * Creates the tokens of a term that has reserved none but the first.
   *
   * @param term the number of the term
   */
  public FencingTokens(long term) {
    this.first = term;
    this.lastReserved = term;
  }

  /** Returns the first token, which is the number of the term. */
  public long first() {
    return first;
  }

  /** Returns the last token that is known to be reserved for this term. */
  public long lastReserved() {
    return lastReserved;
  }

  /** Returns whether the leader may use this token, which must not be smaller than the first. */
  public boolean isReserved(long token) {
    return token <= lastReserved;
  }

  /** Records that a task was launched with this token, so that a larger one will be needed. */
  public void launchSent(long token) {
    largestLaunchToken = Math.max(largestLaunchToken, token);
  }

  /** Returns whether another block should be reserved now, before it is needed. */
  public boolean isReservationDue() {
    return largestLaunchToken > 0 && lastReserved - largestLaunchToken < MIN_RESERVE;
  }

  /**
   * Returns the last token of the next block.
   *
   * @param storedNumber the number that the term key has now. It exceeds {@link #lastReserved()} if
   *     a reservation of this term was stored whose response was lost
   */
  public long endOfNextBlock(long storedNumber) {
    return Math.max(storedNumber, lastReserved) + BLOCK_SIZE;
  }

  /** Records that the state service has stored a reservation up to and including this token. */
  public void reservedUpTo(long token) {
    lastReserved = Math.max(lastReserved, token);
  }
}
