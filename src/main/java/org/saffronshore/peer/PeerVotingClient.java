package org.saffronshore.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.config.Peer;
import org.saffronshore.config.Settings;
import org.saffronshore.leadership.PeerVoting;

/** Requests the votes of the peers for a candidate, and tells the peers when it withdraws. */
public final class PeerVotingClient implements PeerVoting {
  private final PeerClient peerClient;
  private final PeerMessageFactory messages;
  private final PeerReachability reachability;
  private final double voteTimeoutS;
  private final double withdrawalTimeoutS;

  /**
   * Creates a client. Its timeout for votes is short, since a vote counts only in the campaign for
   * which it was requested.
   */
  public PeerVotingClient(
      Settings settings,
      PeerClient peerClient,
      PeerMessageFactory messages,
      PeerReachability reachability) {
    this.peerClient = peerClient;
    this.messages = messages;
    this.reachability = reachability;
    this.voteTimeoutS = PeerProtocol.heartbeatIntervalS(settings) / 2;
    this.withdrawalTimeoutS = PeerProtocol.heartbeatIntervalS(settings);
  }

  @Override
  public void requestVotes(
      long term, Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotesReceived) {
    VoteCount count = new VoteCount(isDecided, onVotesReceived);
    byte[] body = messages.forCandidate(term).toCbor();
    for (Peer peer : peerClient.peers()) {
      peerClient.send(
          peer,
          PeerProtocol.VOTE_PATH,
          body,
          voteTimeoutS,
          response -> {
            response.flatMap(present -> toVote(peer, present)).ifPresent(count.votes::add);
            count.awaitedPeers.remove(peer);
            count.completeIfDecided();
          });
    }
    count.completeIfDecided();
  }

  /** Returns the vote in a response, or empty if the response does not name its process. */
  private Optional<Vote> toVote(Peer peer, PeerResponse response) {
    String incarnation = response.sender().incarnation();
    if (incarnation == null) {
      return Optional.empty();
    }
    reachability.recordResponse(peer);
    return Optional.of(new Vote(peer.node(), incarnation, response.leaseGranted()));
  }

  @Override
  public void sendWithdrawal(long term) {
    byte[] body = messages.forCandidate(term).toCbor();
    for (Peer peer : peerClient.peers()) {
      peerClient.post(peer, PeerProtocol.WITHDRAWAL_PATH, body, withdrawalTimeoutS, response -> {});
    }
  }

  /** Collects the votes of one campaign, and reports them once. */
  private final class VoteCount {
    private final Predicate<List<Vote>> isDecided;
    private final Consumer<List<Vote>> onVotesReceived;
    private final List<Vote> votes = new ArrayList<>();

    /**
     * The peers whose votes are awaited. A peer that has not responded for a while is also sent a
     * request, but is not awaited, since the leases that other peers have granted would be tied up
     * in the meantime.
     */
    private final Set<Peer> awaitedPeers = new HashSet<>(peerClient.peers());

    private boolean completed;

    VoteCount(Predicate<List<Vote>> isDecided, Consumer<List<Vote>> onVotesReceived) {
      this.isDecided = isDecided;
      this.onVotesReceived = onVotesReceived;
      awaitedPeers.removeIf(peer -> !reachability.isResponseExpected(peer));
    }

    private void completeIfDecided() {
      if (!completed && (awaitedPeers.isEmpty() || isDecided.test(votes))) {
        completed = true;
        onVotesReceived.accept(votes);
      }
    }
  }
}
