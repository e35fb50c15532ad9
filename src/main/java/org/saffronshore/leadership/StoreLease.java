package org.saffronshore.leadership;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's lease in the state service, renewed until it is revoked or has expired. */
final class StoreLease {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLease.class);
  private static final double RENEWALS_PER_LEASE = 4;

  /** The delay after a renewal that failed, as a share of the lease's duration. */
  private static final double RETRY_DELAY_FACTOR = 1.0 / 20;

  private final EventLoop loop;
  private final StateClient state;
  private final double durationS;
  private final Runnable onExpired;
  private long id;
  private double validUntil = Double.NEGATIVE_INFINITY;

  /** Which lease a scheduled renewal belongs to; renewals of earlier ones are dropped. */
  private int generation;

  /**
   * @param onExpired is called when the state service says that the lease has expired
   */
  StoreLease(EventLoop loop, StateClient state, double durationS, Runnable onExpired) {
    this.loop = loop;
    this.state = state;
    this.durationS = durationS;
    this.onExpired = onExpired;
  }

  /** Renews a lease from now on that was requested at that moment. */
  void startRenewing(long leaseId, double requestedAt) {
    id = leaseId;
    validUntil = requestedAt + Settings.minLocalDuration(durationS);
    generation++;
    scheduleRenewal(durationS / RENEWALS_PER_LEASE, generation);
  }

  /**
   * Whether the lease has provably not expired, counted from when the last successful renewal was
   * sent, on a clock that may run slow.
   */
  boolean isValid() {
    return loop.now() < validUntil;
  }

  /**
   * Revokes the lease.
   *
   * @param onRevoked is called when the state service has responded, or the request timed out
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
              // The retry is worth it even when the lease is not valid any more: after an outage
              // the state service gives every lease its full duration again.
              LOG.debug("Lease renewal failed: lease={} valid={}", id, isValid());
              scheduleRenewal(durationS * RETRY_DELAY_FACTOR, renewedGeneration);
            }
          }
        });
  }
}
