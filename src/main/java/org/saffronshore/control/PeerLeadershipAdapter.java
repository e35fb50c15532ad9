package org.saffronshore.control;

import org.saffronshore.leadership.ControllerProcess;
import org.saffronshore.leadership.Leadership;
import org.saffronshore.leadership.LeaseRequest;
import org.saffronshore.peer.PeerLeadership;

/** Adapts {@link Leadership} to the interface that the messages between controllers use. */
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
  public boolean grantLease(LeaseRequest request, boolean stateServiceAvailable) {
    return leadership.grantLease(request, stateServiceAvailable);
  }

  @Override
  public void recordWithdrawal(ControllerProcess requester, long term) {
    leadership.recordWithdrawal(requester, term);
  }
}
