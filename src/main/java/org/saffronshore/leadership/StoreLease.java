package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's lease of the state service, renewed until it is released or has expired. */
final class StoreLease {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLease.class);
  private static final double RENEWALS_PER_LIFE = 4;

  /** The pause after a failed renewal, as a share of the lease's life. */
  private static final double RETRY_SHARE = 1.0 / 20;

  private final EventLoop loop;
  private final StateClient state;
  private final double durationS;
  private final Runnable onExpired;
  private long id;
  private double validUntil = Double.NEGATIVE_INFINITY;

  /** Which lease a scheduled renewal belongs to; renewals of earlier ones are dropped. */
  private int generation;

  StoreLease(EventLoop loop, StateClient state, double durationS, Runnable onExpired) {
    this.loop = loop;
    this.state = state;
    this.durationS = durationS;
    this.onExpired = onExpired;
  }

  /** Keeps a lease that was requested at that moment. */
  void begin(long leaseId, double requestedAt) {
    id = leaseId;
    validUntil = requestedAt + Settings.minLocalDuration(durationS);
    generation++;
    renewAfter(durationS / RENEWALS_PER_LIFE, generation);
  }

  /** Whether it provably lives, counted from when the last renewal that succeeded was sent. */
  boolean valid() {
    return loop.now() < validUntil;
  }

  /** Ends it at once, and tells when the state service has answered that. */
  void release(Runnable then) {
    generation++;
    validUntil = Double.NEGATIVE_INFINITY;
    state.revokeLease(id, then);
  }

  private void renewAfter(double seconds, int of) {
    loop.schedule(
        seconds,
        () -> {
          if (of == generation) {
            renew(of);
          }
        });
  }

  private void renew(int of) {
    double sentAt = loop.now();
    state.renewLease(
        id,
        Math.min(StateClient.TIMEOUT_S, durationS / 2),
        renewal -> {
          if (of != generation) {
            return;
          }
          switch (renewal) {
            case RENEWED -> {
              validUntil = Math.max(validUntil, sentAt + Settings.minLocalDuration(durationS));
              renewAfter(durationS / RENEWALS_PER_LIFE, of);
            }
            case EXPIRED -> onExpired.run();
            default -> {
              // Not the end yet, even when it is not valid any more: after an outage of the state
              // service every lease has its full time again.
              LOG.debug("a renewal failed; lease valid: {}", valid());
              renewAfter(durationS * RETRY_SHARE, of);
            }
          }
        });
  }
}
