package org.saffronshore.leadership;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * The lease that this controller grants to one leader or candidate at a time. The grantor counts
 * the lease from when it received the request, and lengthens its duration by the possible clock
 * drift. The holder counts it from when it sent the request, and shortens its duration by the
 * possible clock drift, see {@link QuorumLease}. A lease therefore ends for its holder before it
 * ends for its grantor.
 */
final class LeaseGrants {
  private final EventLoop loop;
  private final double leaseDurationS;
  private final double noGrantsUntil;

  /** The process that the latest lease was granted to; null if none was granted yet. */
  private @Nullable ControllerProcess holder;

  private long holderTerm;
  private double grantedUntil = Double.NEGATIVE_INFINITY;

  /**
   * Creates the grants of a process that has just started. It grants nothing until every lease that
   * an earlier incarnation of this controller may have granted has expired.
   */
  LeaseGrants(EventLoop loop, double leaseDurationS) {
    this.loop = loop;
    this.leaseDurationS = leaseDurationS;
    this.noGrantsUntil = loop.now() + Settings.maxLocalDuration(leaseDurationS);
  }

  /**
   * Grants the lease to a process that leads a term or is a candidate for it, or renews it.
   *
   * @return false if another process may still hold a lease of this controller, or if the term is
   *     earlier than that of the latest grant
   */
  boolean tryGrant(ControllerProcess requester, long term) {
    double now = loop.now();
    // Several candidates may hold the lease for the same term, one after another. Only one of them
    // can lead the term, since its claim expects the version of the term key.
    if (now < noGrantsUntil
        || term < holderTerm
        || (!requester.equals(holder) && now < grantedUntil)) {
      return false;
    }
    holder = requester;
    holderTerm = term;
    grantedUntil = now + Settings.maxLocalDuration(leaseDurationS);
    return true;
  }

  /** Returns whether a process other than the requester holds the lease for the term. */
  boolean isGrantedToOther(ControllerProcess requester, long term) {
    return term == holderTerm && loop.now() < grantedUntil && !requester.equals(holder);
  }

  /**
   * Releases the lease if the requester holds it for the term. To be called when the requester has
   * withdrawn, and so will not act on the lease any more.
   */
  void releaseIfHeldBy(ControllerProcess requester, long term) {
    if (term == holderTerm && requester.equals(holder)) {
      grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }
}
