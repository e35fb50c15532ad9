package org.saffronshore.peer;

/** The leadership of this controller, as far as messages between controllers concern it. */
public interface PeerLeadership {
  /** The latest term that this controller led. */
  long term();

  /** A peer granted its lease to this leader, which had requested it at that moment. */
  void recordGrant(String peer, double requestedAt);

  /**
   * Whether this controller grants its lease to a peer.
   *
   * @param node the peer
   * @param incarnation the peer's process
   * @param term the term that the peer leads, or wants to lead
   * @param candidate whether the peer is a candidate and does not lead yet
   * @param availableToPeer whether the state service responds to the peer
   * @param available whether the state service responds to this controller
   */
  boolean grantLease(
      String node,
      String incarnation,
      long term,
      boolean candidate,
      boolean availableToPeer,
      boolean available);

  /** A candidate or leader has withdrawn: a lease that it was granted is released. */
  void recordWithdrawal(String node, String incarnation, long term);
}
