package org.saffronshore.leadership;

import java.util.function.Consumer;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;

/**
 * The last step of a campaign: creates a store lease, and sets the leader's key attached to it in
 * the transaction that raises the term.
 */
final class LeaderKeyClaim {
  private final EventLoop loop;
  private final StateClient state;
  private final ControllerProcess self;
  private final double leaseDurationS;

  LeaderKeyClaim(EventLoop loop, StateClient state, ControllerProcess self, double leaseDurationS) {
    this.loop = loop;
    this.state = state;
    this.self = self;
    this.leaseDurationS = leaseDurationS;
  }

  /** Claims the term after the last one. */
  void claimNextTerm(LastTerm lastTerm, Consumer<CampaignOutcome> onOutcome) {
    double requestedAt = loop.now();
    state.grantLease(
        leaseDurationS,
        lease -> {
          if (lease.isEmpty()) {
            onOutcome.accept(new CampaignOutcome.Lost(CampaignOutcome.Reason.NO_STORE_LEASE));
          } else {
            setLeaderKey(lastTerm, lease.getAsLong(), requestedAt, onOutcome);
          }
        });
  }

  private void setLeaderKey(
      LastTerm lastTerm, long leaseId, double requestedAt, Consumer<CampaignOutcome> onOutcome) {
    long term = lastTerm.nextNumber();
    LeaderRecord leader = new LeaderRecord(self.node(), self.incarnation(), term);
    Transaction transaction =
        new Transaction()
            .expectVersion(Keys.LEADER, 0)
            .expectVersion(Keys.TERM, lastTerm.keyVersion())
            .put(Keys.LEADER, leader.toJson(), leaseId)
            .put(Keys.TERM, leader.toJson());
    state.commit(
        transaction,
        RequestPriority.VITAL,
        result -> {
          if (result.isCommitted()) {
            onOutcome.accept(
                new CampaignOutcome.Won(term, result.revision(), leaseId, requestedAt));
            return;
          }
          // A claim whose response was lost may still be carried out, until its lease has ended.
          state.revokeLease(
              leaseId,
              () ->
                  onOutcome.accept(
                      new CampaignOutcome.Lost(CampaignOutcome.Reason.CLAIM_NOT_COMMITTED)));
        });
  }
}
