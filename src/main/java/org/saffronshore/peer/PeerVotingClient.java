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

/** Requests votes of the peers for a candidate, and tells them when it withdraws. */
public final class PeerVotingClient implements PeerVoting {
  private final PeerClient peers;
  private final PeerMessageFactory messages;
  private final PeerReachability reachability;
  private final double voteTimeoutS;
  private final double withdrawalTimeoutS;

  /** Votes are worth something only while the candidate's time for a campaign lasts. */
  public PeerVotingClient(
      Settings settings,
      PeerClient peers,
      PeerMessageFactory messages,
      PeerReachability reachability) {
    this.peers = peers;
    this.messages = messages;
    this.reachability = reachability;
    this.voteTimeoutS = PeerProtocol.heartbeatIntervalS(settings) / 2;
    this.withdrawalTimeoutS = PeerProtocol.heartbeatIntervalS(settings);
  }

  @Override
  public void requestVotes(long term, Predicate<List<Vote>> enough, Consumer<List<Vote>> receiver) {
    VoteCount count = new VoteCount(enough, receiver);
    byte[] body = messages.forCandidate(term).toCbor();
    for (Peer peer : peers.peers()) {
      peers.send(
          peer,
          PeerProtocol.VOTE_PATH,
          body,
          voteTimeoutS,
          response -> {
            response.flatMap(present -> vote(peer, present)).ifPresent(count.votes::add);
            count.missing.remove(peer);
            count.endIfDecided();
          });
    }
    count.endIfDecided();
  }

  /** The vote in a response; empty when the response does not say which process it is from. */
  private Optional<Vote> vote(Peer peer, PeerResponse response) {
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
    for (Peer peer : peers.peers()) {
      peers.post(peer, PeerProtocol.WITHDRAWAL_PATH, body, withdrawalTimeoutS, response -> {});
    }
  }

  /** The votes of one campaign, which are handed on once. */
  private final class VoteCount {
    private final Predicate<List<Vote>> enough;
    private final Consumer<List<Vote>> receiver;
    private final List<Vote> votes = new ArrayList<>();

    /**
     * Those whose vote is waited for. Peers that have been unreachable for a while are requested
     * too, but the leases of the others are not held for them.
     */
    private final Set<Peer> missing = new HashSet<>(peers.peers());

    private boolean ended;

    VoteCount(Predicate<List<Vote>> enough, Consumer<List<Vote>> receiver) {
      this.enough = enough;
      this.receiver = receiver;
      missing.removeIf(peer -> !reachability.isResponseExpected(peer));
    }

    private void endIfDecided() {
      if (!ended && (missing.isEmpty() || enough.test(votes))) {
        ended = true;
        receiver.accept(votes);
      }
    }
  }
}
