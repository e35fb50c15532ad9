package org.saffronshore.leadership;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * The lease that this controller grants, to one leader or candidate at a time. The grantor counts a
 * lease from when it received the request, and for longer than its duration by what clocks may
 * drift. The holder counts from when it sent the request, and for less than the duration, see
 * {@link QuorumLease}. So a lease ends for its holder before it ends for its grantor.
 */
final class LeaseGrants {
  private final EventLoop loop;
  private final double leaseDurationS;
  private final double noGrantsUntil;

  /** Who was granted the latest lease; null when none was granted yet. */
  private @Nullable ControllerProcess holder;

  private long holderTerm;
  private double grantedUntil = Double.NEGATIVE_INFINITY;

  /** Grants nothing until every lease that an earlier incarnation can have granted is over. */
  LeaseGrants(EventLoop loop, double leaseDurationS) {
    this.loop = loop;
    this.leaseDurationS = leaseDurationS;
    this.noGrantsUntil = loop.now() + Settings.maxLocalDuration(leaseDurationS);
  }

  /**
   * Grants or renews the lease for a process that leads, or wants to lead, a term.
   *
   * @return false while another process may still hold it, or when the term is over
   */
  boolean tryGrant(ControllerProcess requester, long term) {
    double now = loop.now();
    // Several candidates may hold the lease for one term, one after another. The condition on the
    // version of the term's key lets only one of them lead it.
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

  /** Whether another process holds the lease for that term. */
  boolean isGrantedToOther(ControllerProcess requester, long term) {
    return term == holderTerm && loop.now() < grantedUntil && !requester.equals(holder);
  }

  /** Ends the lease: its holder has withdrawn, and will not act on it any more. */
  void releaseIfHeldBy(ControllerProcess requester, long term) {
    if (term == holderTerm && requester.equals(holder)) {
      grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }
}
