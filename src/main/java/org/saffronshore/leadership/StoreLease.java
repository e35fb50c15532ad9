package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's lease in the state service, which is renewed until it is revoked or has expired. */
final class StoreLease {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLease.class);
  private static final double RENEWALS_PER_LEASE = 4;

  /** The delay after a failed renewal, as a fraction of the lease's duration. */
  private static final double RETRY_DELAY_FACTOR = 1.0 / 20;

  private final EventLoop loop;
  private final StateClient state;
  private final double durationS;
  private final Runnable onExpired;
  private long id;
  private double validUntil = Double.NEGATIVE_INFINITY;

  /**
   * Incremented when a lease is started or revoked. Scheduled renewals and responses that belong to
   * an earlier generation are dropped.
   */
  private int generation;

  /**
   * Creates a store lease that is invalid until {@link #startRenewing} is called.
   *
   * @param onExpired called when the state service responds that the lease has expired
   */
  StoreLease(EventLoop loop, StateClient state, double durationS, Runnable onExpired) {
    this.loop = loop;
    this.state = state;
    this.durationS = durationS;
    this.onExpired = onExpired;
  }

  /**
   * Starts to renew a lease that was just granted.
   *
   * @param requestedAt when the lease was requested, in seconds on the event loop's clock
   */
  void startRenewing(long leaseId, double requestedAt) {
    id = leaseId;
    validUntil = requestedAt + Settings.minLocalDuration(durationS);
    generation++;
    scheduleRenewal(durationS / RENEWALS_PER_LEASE, generation);
  }

  /**
   * Returns whether the lease has provably not expired. It is counted from when the last successful
   * renewal was sent, and allows for a local clock that runs slow.
   */
  boolean isValid() {
    return loop.now() < validUntil;
  }

  /**
   * Revokes the lease.
   *
   * @param onRevoked called when the state service has responded or the request has timed out
   */
  void revoke(Runnable onRevoked) {
    generation++;
    validUntil = Double.NEGATIVE_INFINITY;
    state.revokeLease(id, onRevoked);
  }

  private void scheduleRenewal(double delayS, int renewedGeneration) {
    loop.schedule(
        delayS,
        () -> {
          if (renewedGeneration == generation) {
            renew(renewedGeneration);
          }
        });
  }

  private void renew(int renewedGeneration) {
    double sentAt = loop.now();
    state.renewLease(
        id,
        Math.min(StateClient.TIMEOUT_S, durationS / 2),
        renewal -> {
          if (renewedGeneration != generation) {
            return;
          }
          switch (renewal) {
            case RENEWED -> {
              validUntil = Math.max(validUntil, sentAt + Settings.minLocalDuration(durationS));
              scheduleRenewal(durationS / RENEWALS_PER_LEASE, renewedGeneration);
            }
            case EXPIRED -> onExpired.run();
            default -> {
              // Retried even when the lease is not valid any more: after an outage the state
              // service gives every lease its full duration again.
              LOG.debug("Store lease renewal failed: lease={} valid={}", id, isValid());
              scheduleRenewal(durationS * RETRY_DELAY_FACTOR, renewedGeneration);
            }
          }
        });
  }
}
