package org.saffronshore.leadership;

/** How a campaign of this controller ended. */
sealed interface CampaignOutcome {

  /**
   * The campaign was won: the leader key is set and attached to a store lease.
   *
   * @param term the term that this controller leads
   * @param leaderKeyVersion the version of the leader key
   * @param leaseId the store lease
   * @param leaseRequestedAt when that lease was requested, in seconds on the event loop's clock
   */
  record Won(long term, long leaderKeyVersion, long leaseId, double leaseRequestedAt)
      implements CampaignOutcome {}

  /**
   * The campaign was lost. Votes requested directly from the peers have been withdrawn if they did
   * not make a quorum; other votes last until they expire. If a store lease was created, its
   * revocation has been answered or has timed out.
   */
  record Lost(Reason reason) implements CampaignOutcome {}

  /** Why a campaign was lost. */
  enum Reason {
    TERM_UNREADABLE,
    NO_QUORUM,
    NO_STORE_LEASE,
    CLAIM_NOT_COMMITTED
  }
}
