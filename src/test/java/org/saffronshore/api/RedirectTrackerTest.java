package org.saffronshore.api;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.saffronshore.ManualEventLoop;

class RedirectTrackerTest {
  private final ManualEventLoop loop = new ManualEventLoop();
  private final RedirectTracker redirects = new RedirectTracker(loop, 3);

  /**
   * A worker that returns soon after a redirect could not reach the leader. Without the relay its
   * lease would expire.
   */
  @Test
  void heartbeatsAreRelayedWhenTheWorkerReturnsSoonAfterARedirect() {
    assertFalse(redirects.shouldRelay("host-1", "n-1"));
    loop.advance(5);
    assertTrue(redirects.shouldRelay("host-1", "n-1"));
    redirects.recordRelayed("host-1", "n-1");
    loop.advance(3);
    assertTrue(redirects.shouldRelay("host-1", "n-1"), "later heartbeats should be relayed, too");
  }

  @Test
  void workerIsRedirectedWhenItDoesNotReturnFromThatLeader() {
    assertFalse(redirects.shouldRelay("host-1", "n-1"));
    assertFalse(
        redirects.shouldRelay("host-1", "n-2"),
        "the worker has not been redirected to this leader before");
    loop.advance(60);
    assertFalse(redirects.shouldRelay("host-1", "n-2"), "the last redirect was too long ago");
  }
}
