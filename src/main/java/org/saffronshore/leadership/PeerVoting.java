package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Requests votes from the other controllers for a candidate. */
public interface PeerVoting {

  /**
   * A peer's response to a request for its vote.
   *
   * @param node the peer
   * @param incarnation the process of the peer that has voted
   * @param granted whether the peer grants the candidate its lease
   */
  record Vote(String node, String incarnation, boolean granted) {}

  /**
   * Requests votes, and reports them once the outcome is decided, or once every peer that is
   * expected to respond has voted or timed out.
   *
   * @param isDecided whether the votes received so far decide the outcome
   * @param onVotesReceived called once with the votes received
   */
  void requestVotes(
      long term, Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotesReceived);

  /**
   * Tells the peers that this candidate or leader has withdrawn from the term, so that they release
   * the leases that they granted it.
   */
  void sendWithdrawal(long term);
}
