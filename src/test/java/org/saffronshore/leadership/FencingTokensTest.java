package org.saffronshore.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FencingTokensTest {
  private static final long TERM = 5;

  private final FencingTokens tokens = new FencingTokens(TERM);

  @Test
  void onlyTheNumberOfTheTermIsReservedAtFirst() {
    assertEquals(TERM, tokens.first());
    assertTrue(tokens.isReserved(TERM));
    assertFalse(tokens.isReserved(TERM + 1));
  }

  @Test
  void reservationIsDueOnceATaskWasLaunched() {
    assertFalse(tokens.isReservationDue());
    tokens.launchSent(TERM);
    assertTrue(tokens.isReservationDue());
  }

  @Test
  void nextBlockIsReservedWhenHalfOfTheLastOneIsUsed() {
    tokens.launchSent(TERM);
    long end = tokens.endOfNextBlock(TERM);
    tokens.reservedUpTo(end);
    assertTrue(tokens.isReserved(end));
    assertFalse(tokens.isReserved(end + 1));
    assertFalse(tokens.isReservationDue());
    tokens.launchSent((TERM + end) / 2);
    assertFalse(tokens.isReservationDue());
    tokens.launchSent((TERM + end) / 2 + 1);
    assertTrue(tokens.isReservationDue());
  }

  /** The stored number is larger if the response to an earlier reservation was lost. */
  @Test
  void nextBlockEndsAfterTheStoredNumber() {
    long end = tokens.endOfNextBlock(TERM);
    assertTrue(tokens.endOfNextBlock(end) > end);
    tokens.reservedUpTo(end);
    assertTrue(tokens.endOfNextBlock(TERM) > end);
  }
}
