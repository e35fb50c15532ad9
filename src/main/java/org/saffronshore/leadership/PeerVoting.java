package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Collects votes of the other controllers for a candidate. */
public interface PeerVoting {

  /**
   * A peer's response to a request for its vote.
   *
   * @param node the peer
   * @param incarnation which process of the peer has voted
   * @param granted whether it grants the candidate its lease
   */
  record Vote(String node, String incarnation, boolean granted) {}

  /**
   * Requests votes until the outcome is decided, or until every peer that is expected to vote has
   * voted or timed out.
   *
   * @param isDecided whether the votes received so far decide the outcome
   * @param onVotes is called once with the votes received
   */
  void requestVotes(long term, Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotes);

  /** Tells the peers that this candidate or leader has withdrawn, which ends their leases. */
  void sendWithdrawal(long term);
}
