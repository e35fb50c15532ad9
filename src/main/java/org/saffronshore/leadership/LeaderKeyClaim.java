package org.saffronshore.leadership;

import java.util.function.Consumer;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;

/**
 * The last step of a campaign: creates a store lease, and then sets the leader key, attached to
 * that lease, in the transaction that increments the term.
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

  /**
   * Claims the term after the last one.
   *
   * @param onCampaignEnded called once with the outcome of the campaign
   */
  void claimNextTerm(LastTerm lastTerm, Consumer<CampaignOutcome> onCampaignEnded) {
    double requestedAt = loop.now();
    state.grantLease(
        leaseDurationS,
        lease -> {
          if (lease.isEmpty()) {
            onCampaignEnded.accept(new CampaignOutcome.Lost(CampaignOutcome.Reason.NO_STORE_LEASE));
          } else {
            setLeaderKey(lastTerm, lease.getAsLong(), requestedAt, onCampaignEnded);
          }
        });
  }

  private void setLeaderKey(
      LastTerm lastTerm,
      long leaseId,
      double requestedAt,
      Consumer<CampaignOutcome> onCampaignEnded) {
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
            onCampaignEnded.accept(
                new CampaignOutcome.Won(term, result.revision(), leaseId, requestedAt));
            return;
          }
          // A claim whose response was lost may still be committed, until its lease has ended.
          state.revokeLease(
              leaseId,
              () ->
                  onCampaignEnded.accept(
                      new CampaignOutcome.Lost(CampaignOutcome.Reason.CLAIM_NOT_COMMITTED)));
        });
  }
}
