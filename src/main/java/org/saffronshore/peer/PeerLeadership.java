package org.saffronshore.peer;

import org.saffronshore.leadership.ControllerProcess;
import org.saffronshore.leadership.LeaseRequest;

/** The part of this controller's leadership that messages between controllers use and change. */
public interface PeerLeadership {
  /** Returns the latest term that this controller led. */
  long term();

  /**
   * Records that a peer granted its lease to this leader.
   *
   * @param peer the peer's node name
   * @param requestedAt when the request was sent, in seconds on the event loop's clock
   */
  void recordGrant(String peer, double requestedAt);

  /**
   * Grants this controller's lease to a peer, unless a rule forbids it.
   *
   * @param request the peer's request
   * @param stateServiceAvailable whether the state service responds to this controller
   * @return whether the lease was granted or renewed
   */
  boolean grantLease(LeaseRequest request, boolean stateServiceAvailable);

  /**
   * Releases the lease that this controller granted to a candidate or leader, which has withdrawn
   * from the term.
   */
  void recordWithdrawal(ControllerProcess requester, long term);
}
