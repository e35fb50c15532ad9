package org.saffronshore.leadership;

/** How a campaign of this controller ended. */
sealed interface CampaignOutcome {

  /**
   * The campaign was won: the leader's key is set, attached to a lease.
   *
   * @param term the term that this controller leads
   * @param leaderKeyVersion the version of the leader's key
   * @param leaseId the store lease
   * @param leaseRequestedAt when that lease was requested, on the clock of the event loop
   */
  record Won(long term, long leaderKeyVersion, long leaseId, double leaseRequestedAt)
      implements CampaignOutcome {}

  /** The campaign was lost, and whatever it had acquired is withdrawn or revoked. */
  record Lost(Reason reason) implements CampaignOutcome {}

  /** Why a campaign was lost. */
  enum Reason {
    TERM_UNREADABLE,
    NO_QUORUM,
    NO_STORE_LEASE,
    CLAIM_NOT_COMMITTED
  }
}
