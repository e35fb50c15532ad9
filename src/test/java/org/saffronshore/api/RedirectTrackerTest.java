package org.saffronshore.api;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.saffronshore.ManualEventLoop;

class RedirectTrackerTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final RedirectTracker redirects = new RedirectTracker(loop, 3);

  /** A worker that is back soon could not reach the leader: its lease must not expire for that. */
  @Test
  void heartbeatsAreRelayedWhenTheWorkerReturnsSoonAfterARedirect() {
    assertFalse(redirects.shouldRelay("host-1", "n-1"));
    loop.advance(5);
    assertTrue(redirects.shouldRelay("host-1", "n-1"));
    redirects.recordRelayed("host-1", "n-1");
    loop.advance(3);
    assertTrue(redirects.shouldRelay("host-1", "n-1"), "and for the heartbeats after that");
  }

  @Test
  void workerIsRedirectedWhenItDoesNotReturnFromThatLeader() {
    assertFalse(redirects.shouldRelay("host-1", "n-1"));
    assertFalse(redirects.shouldRelay("host-1", "n-2"), "another leader has not been tried");
    loop.advance(60);
    assertFalse(redirects.shouldRelay("host-1", "n-2"), "that was long ago");
  }
}
