package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The campaigns of this controller, one at a time: votes of a quorum, from its peers or through the
 * state service, or proof that the last leader's process has ended, and then the claim of the
 * leader's key.
 */
final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  /**
   * After this many campaigns that a quorum left unanswered, votes are requested through the state
   * service. Where most peers cannot be reached, a leader that is cut off could not be replaced
   * otherwise.
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

  /** Campaigns that a quorum left unanswered, since the last one that reached the claim. */
  private int unansweredCampaigns;

  /**
   * @param onCampaignEnded is called once for each campaign
   */
  Election(
      ControllerProcess self,
      Quorum quorum,
      StateClient state,
      LeaseGrants leaseGrants,
      PeerVoting peerVoting,
      StateServiceVoting stateServiceVoting,
      LeaderKeyClaim leaderKeyClaim,
      Consumer<CampaignOutcome> onOutcome) {
    this.self = self;
    this.quorum = quorum;
    this.state = state;
    this.leaseGrants = leaseGrants;
    this.peerVoting = peerVoting;
    this.stateServiceVoting = stateServiceVoting;
    this.leaderKeyClaim = leaderKeyClaim;
    this.onCampaignEnded = onOutcome;
  }

  /** Campaigns for the term after the last one. The leader's key was missing a moment ago. */
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
    // Its own lease first: two candidates that grant theirs to each other, or split the votes,
    // would both fail.
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
        votes -> hasLastLeaderProcessEnded(lastTerm, votes) || isVoteDecided(votes, ownVotes),
        votes -> onVotesReceived(lastTerm, votes, ownVotes));
  }

  private void onVotesReceived(LastTerm lastTerm, List<PeerVoting.Vote> votes, int ownVotes) {
    long granted = countGranted(votes) + ownVotes;
    boolean firstTerm = lastTerm.number() == 0;
    if (quorum.isMet(granted) || firstTerm || hasLastLeaderProcessEnded(lastTerm, votes)) {
      claimNextTerm(lastTerm);
      return;
    }
    long term = lastTerm.nextNumber();
    LOG.debug(
        "No quorum: node={} term={} granted={} responses={}",
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
   * Whether the missing votes cannot change the outcome. Waiting for them would only keep the
   * leases of those that have voted from other candidates.
   */
  private boolean isVoteDecided(List<PeerVoting.Vote> votes, int ownVotes) {
    long granted = countGranted(votes) + ownVotes;
    long missing = quorum.controllers() - 1L - votes.size();
    return quorum.isMet(granted) || !quorum.isMet(granted + missing);
  }

  /**
   * Whether the process that led last has ended: another incarnation of its controller has just
   * voted, or is this one.
   */
  private boolean hasLastLeaderProcessEnded(LastTerm lastTerm, List<PeerVoting.Vote> votes) {
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

  /** Whether the votes of others make a quorum, if need be with the lease of this controller. */
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
