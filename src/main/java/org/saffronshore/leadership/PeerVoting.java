package org.saffronshore.leadership;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Collects votes of the other controllers for a candidate that wants to lead a term. */
public interface PeerVoting {

  /** A vote: which incarnation of the peer answered, and whether it grants its lease. */
  record Vote(String node, String incarnation, boolean granted) {}

  /** Requests votes until they are enough, or until every peer has answered or timed out. */
  void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> then);

  /** Tells the peers that this candidate has withdrawn. */
  void withdraw(long term);
}
