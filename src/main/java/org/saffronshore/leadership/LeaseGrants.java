package org.saffronshore.leadership;

import java.util.HashMap;
import java.util.Map;
import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;

/**
 * Leader leases that the controllers grant one another. While a quorum, the leader included, keeps
 * its leases with the leader, it may act although the state service answers nobody. A controller
 * grants its lease to one leader at a time. The holder counts a lease from when it sent the request
 * and the grantor from when it received it, so a lease ends for its holder before it ends for its
 * grantor, and two leaders can never hold a quorum's leases at once.
 */
public final class LeaseGrants {
  private final EventLoop loop;
  private final double leaseDurationS;
  private final int majority;
  private final double noGrantsUntil;
  private String holder;
  private long holderTerm;
  private double grantedUntil = Double.NEGATIVE_INFINITY;
  private final Map<String, Double> heldFrom = new HashMap<>();

  /**
   * @param leaseDurationS how long a lease lasts
   */
  public LeaseGrants(EventLoop loop, double leaseDurationS, int nodes) {
    this.loop = loop;
    this.leaseDurationS = leaseDurationS;
    this.majority = nodes / 2 + 1;
    // An earlier incarnation may have granted a lease that this one does not know of.
    this.noGrantsUntil = loop.now() + Settings.maxLocalDuration(leaseDurationS);
  }

  public int majority() {
    return majority;
  }

  /**
   * Grants this controller's lease to an incarnation of a node that leads, or wants to lead, a
   * term; false while another may still hold it.
   */
  public boolean grant(String node, String life, long term) {
    String asking = node + "/" + life;
    double now = loop.now();
    // Several may get the lease for one term, one after another; the state service lets one lead.
    if (now < noGrantsUntil
        || term < holderTerm
        || (!asking.equals(holder) && now < grantedUntil)) {
      return false;
    }
    holder = asking;
    holderTerm = term;
    grantedUntil = now + Settings.maxLocalDuration(leaseDurationS);
    return true;
  }

  /** Whether this lease is with another node that leads, or wants to lead, that term. */
  public boolean grantedToOther(String node, String life, long term) {
    return term == holderTerm && loop.now() < grantedUntil && !(node + "/" + life).equals(holder);
  }

  /** The holder has withdrawn and will not act on the lease. */
  public void withdraw(String node, String life, long term) {
    if (term == holderTerm && (node + "/" + life).equals(holder)) {
      grantedUntil = Double.NEGATIVE_INFINITY;
    }
  }

  /** A peer granted its lease to this node, which had sent the request at that moment. */
  public void held(String peer, double askedAt) {
    heldFrom.merge(peer, askedAt, Math::max);
  }

  public void clearHeld() {
    heldFrom.clear();
  }

  /** Until when the leases of a quorum last; this node counts as one of them. */
  public double quorumLeaseUntil() {
    double[] from = heldFrom.values().stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int needed = majority - 1;
    if (needed == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return from.length < needed
        ? Double.NEGATIVE_INFINITY
        : from[from.length - needed] + Settings.minLocalDuration(leaseDurationS);
  }
}
