package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.saffronshore.ManualLoop;

class RedirectsTest {
  private final ManualLoop loop = new ManualLoop();
  private final Redirects redirects = new Redirects(loop, 3);

  /** A worker that is back soon could not reach the leader: its lease must not run out for that. */
  @Test
  void relaysForWhoComesBack() {
    assertFalse(redirects.cameBack("host-1", "n-1"));
    loop.pass(5);
    assertTrue(redirects.cameBack("host-1", "n-1"));
    redirects.relayed("host-1", "n-1");
    loop.pass(3);
    assertTrue(redirects.cameBack("host-1", "n-1"), "and for the reports after that");
  }

  @Test
  void sendsElsewhereWhoDidNotComeFromThere() {
    assertFalse(redirects.cameBack("host-1", "n-1"));
    assertFalse(redirects.cameBack("host-1", "n-2"), "another leader has not been tried");
    loop.pass(60);
    assertFalse(redirects.cameBack("host-1", "n-2"), "that was long ago");
  }
}
