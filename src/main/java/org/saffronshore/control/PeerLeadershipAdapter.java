package org.saffronshore.control;

import org.saffronshore.leadership.ControllerProcess;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.leadership.LeaseRequest;
import org.saffronshore.peer.PeerLeadership;

/** Shows the messages between controllers the part of the leadership that concerns them. */
final class PeerLeadershipAdapter implements PeerLeadership {
  private final Leadership leadership;

  PeerLeadershipAdapter(Leadership leadership) {
    this.leadership = leadership;
  }

  @Override
  public long term() {
    return leadership.term();
  }

  @Override
  public void recordGrant(String peer, double requestedAt) {
    leadership.recordGrant(peer, requestedAt);
  }

  @Override
  public boolean grantLease(
      String node,
      String incarnation,
      long term,
      boolean candidate,
      boolean availableToPeer,
      boolean available) {
    LeaseRequest request =
        new LeaseRequest(
            new ControllerProcess(node, incarnation),
            term,
            candidate ? LeaseRequest.Role.CANDIDATE : LeaseRequest.Role.LEADER,
            availableToPeer);
    return leadership.grantLease(request, available);
  }

  @Override
  public void recordWithdrawal(String node, String incarnation, long term) {
    leadership.recordWithdrawal(new ControllerProcess(node, incarnation), term);
  }
}
