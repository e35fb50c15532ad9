package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the campaigns of this controller, one at a time. A campaign claims the leader key once it
 * has the votes of a quorum, requested from the peers or through the state service, or proof that
 * the last leader does not act any more. The first term of a deployment is claimed without either.
 */
final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /**
   * The number of campaigns without responses from a quorum after which votes are requested through
   * the state service. Otherwise a leader that is cut off could not be replaced while most peers
   * are unreachable.
   */
  private static final int MAX_UNANSWERED_CAMPAIGNS = 2;

  private final ControllerProcess self;
  private final Quorum quorum;
  private final StateClient state;
  private final LeaseGrants leaseGrants;
  private final PeerVoting peerVoting;
  private final StateServiceVoting stateServiceVoting;
  private final LeaderKeyClaim leaderKeyClaim;
  private final Consumer<CampaignOutcome> onCampaignEnded;

  /** Campaigns without responses from a quorum since the last campaign that reached the claim. */
  private int unansweredCampaigns;

  /**
   * Creates an election that has not started a campaign yet.
   *
   * @param onCampaignEnded called once for each campaign
   */
  Election(
      ControllerProcess self,
      Quorum quorum,
      StateClient state,
      LeaseGrants leaseGrants,
      PeerVoting peerVoting,
      StateServiceVoting stateServiceVoting,
      LeaderKeyClaim leaderKeyClaim,
      Consumer<CampaignOutcome> onCampaignEnded) {
    this.self = self;
    this.quorum = quorum;
    this.state = state;
    this.leaseGrants = leaseGrants;
    this.peerVoting = peerVoting;
    this.stateServiceVoting = stateServiceVoting;
    this.leaderKeyClaim = leaderKeyClaim;
    this.onCampaignEnded = onCampaignEnded;
  }

  /**
   * Starts a campaign for the term after the last one. To be called when the leader key was found
   * missing.
   */
  void startCampaign() {
    state.get(
        Keys.TERM,
        RequestPriority.VITAL,
        key -> {
          if (key.isUnknown()) {
            endAsLost(CampaignOutcome.Reason.TERM_UNREADABLE);
          } else {
            requestVotes(LastTerm.fromTermKey(key));
          }
        });
  }

  private void requestVotes(LastTerm lastTerm) {
    long term = lastTerm.nextNumber();
    // A candidate grants itself its own lease before it requests others: two candidates that grant
    // their leases to each other, or split the votes, would both fail.
    boolean ownGranted = leaseGrants.tryGrant(self, term);
    if (!ownGranted && leaseGrants.isGrantedToOther(self, term)) {
      if (unansweredCampaigns >= MAX_UNANSWERED_CAMPAIGNS) {
        requestVotesThroughStateService(lastTerm);
      } else {
        endAsLost(CampaignOutcome.Reason.NO_QUORUM);
      }
      return;
    }
    int ownVotes = ownGranted ? 1 : 0;
    peerVoting.requestVotes(
        term,
        votes -> isLastLeaderProvablyInactive(lastTerm, votes) || isVoteDecided(votes, ownVotes),
        votes -> onVotesReceived(lastTerm, votes, ownVotes));
  }

  private void onVotesReceived(LastTerm lastTerm, List<PeerVoting.Vote> votes, int ownVotes) {
    long granted = countGranted(votes) + ownVotes;
    boolean firstTerm = lastTerm.number() == 0;
    if (quorum.isMet(granted) || firstTerm || isLastLeaderProvablyInactive(lastTerm, votes)) {
      claimNextTerm(lastTerm);
      return;
    }
    long term = lastTerm.nextNumber();
    LOG.debug(
        "Campaign got no quorum of votes: node={} term={} granted={} responses={}",
        self.node(),
        term,
        granted,
        votes.size());
    leaseGrants.releaseIfHeldBy(self, term);
    peerVoting.sendWithdrawal(term);
    boolean answeredByQuorum = quorum.isMet(votes.size() + 1L);
    if (!answeredByQuorum) {
      unansweredCampaigns++;
    }
    if (!answeredByQuorum && unansweredCampaigns >= MAX_UNANSWERED_CAMPAIGNS) {
      requestVotesThroughStateService(lastTerm);
    } else {
      endAsLost(CampaignOutcome.Reason.NO_QUORUM);
    }
  }

  /**
   * Returns whether the missing votes cannot change the outcome. Waiting for them would only
   * withhold the leases of the peers that have voted from other candidates.
   */
  private boolean isVoteDecided(List<PeerVoting.Vote> votes, int ownVotes) {
    long granted = countGranted(votes) + ownVotes;
    long missing = quorum.controllers() - 1L - votes.size();
    return quorum.isMet(granted) || !quorum.isMet(granted + missing);
  }

  /**
   * Returns whether the process that led last does not act any more: another incarnation of its
   * controller has just voted, or it was a process of this controller, which is not leading now.
   */
  private boolean isLastLeaderProvablyInactive(LastTerm lastTerm, List<PeerVoting.Vote> votes) {
    return self.node().equals(lastTerm.node())
        || votes.stream()
            .anyMatch(
                vote ->
                    vote.node().equals(lastTerm.node())
                        && !vote.incarnation().equals(lastTerm.incarnation()));
  }

  private static long countGranted(List<PeerVoting.Vote> votes) {
    return votes.stream().filter(PeerVoting.Vote::granted).count();
  }

  private void requestVotesThroughStateService(LastTerm lastTerm) {
    stateServiceVoting.requestVotes(
        lastTerm.nextNumber(),
        voters -> quorum.isMet(voters.size() + 1L),
        voters -> {
          if (isElected(lastTerm.nextNumber(), voters.size())) {
            claimNextTerm(lastTerm);
          } else {
            endAsLost(CampaignOutcome.Reason.NO_QUORUM);
          }
        });
  }

  /**
   * Returns whether the votes of other controllers make a quorum. If one vote is missing, this
   * controller tries to grant itself its own lease.
   */
  private boolean isElected(long term, long granted) {
    return quorum.isMet(granted) || (quorum.isMet(granted + 1) && leaseGrants.tryGrant(self, term));
  }

  private void claimNextTerm(LastTerm lastTerm) {
    unansweredCampaigns = 0;
    leaderKeyClaim.claimNextTerm(lastTerm, onCampaignEnded);
  }

  private void endAsLost(CampaignOutcome.Reason reason) {
    onCampaignEnded.accept(new CampaignOutcome.Lost(reason));
  }
}
