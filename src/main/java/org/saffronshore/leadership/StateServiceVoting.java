package org.saffronshore.leadership;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.Listing;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.StoredEntry;
import org.saffronshore.state.Transaction;
import org.saffronshore.state.Vote;
import org.saffronshore.state.VoteRequest;

/**
 * Requests votes through the state service, for the case that it serves the controllers but they
 * cannot reach one another. A candidate writes its request to a key. The other controllers read it
 * when they want to campaign themselves, grant their leases as they would for a direct request, and
 * write their votes. A vote for an earlier request does not count.
 */
final class StateServiceVoting {
  /** The maximum number of times that the votes are read in a round, at equal intervals. */
  private static final int READS_PER_ROUND = 5;

  /** A request that was read more often than this without a change is taken as abandoned. */
  private static final int MAX_UNCHANGED_READS = 3;

  /** Grants the lease of this controller to a candidate. */
  @FunctionalInterface
  interface LeaseGrantor {
    boolean tryGrant(ControllerProcess candidate, long term);
  }

  private final EventLoop loop;
  private final StateClient state;
  private final ControllerProcess self;
  private final double roundDurationS;
  private final LeaseGrantor leaseGrantor;
  private long requestCount;
  private @Nullable VoteRequest lastOtherRequest;
  private int unchangedReads;

  StateServiceVoting(
      EventLoop loop,
      StateClient state,
      ControllerProcess self,
      double roundDurationS,
      LeaseGrantor leaseGrantor) {
    this.loop = loop;
    this.state = state;
    this.self = self;
    this.roundDurationS = roundDurationS;
    this.leaseGrantor = leaseGrantor;
  }

  /**
   * Requests votes, or votes for another candidate that has precedence.
   *
   * @param isQuorum whether the controllers that have voted so far make a quorum
   * @param onVotersKnown called once with the controllers that voted for this one; with an empty
   *     set if another candidate has precedence, or if the request could not be read or committed
   */
  void requestVotes(
      long term, Predicate<Set<String>> isQuorum, Consumer<Set<String>> onVotersKnown) {
    state.get(
        Keys.VOTE_REQUEST,
        RequestPriority.VITAL,
        key -> {
          if (key.isUnknown()) {
            onVotersKnown.accept(Set.of());
            return;
          }
          VoteRequest other = key.isFound() ? VoteRequest.parse(key.value()) : null;
          if (other != null && hasPrecedence(other, term)) {
            voteFor(other, key.version(), () -> onVotersKnown.accept(Set.of()));
          } else {
            writeRequest(term, key.version(), isQuorum, onVotersKnown);
          }
        });
  }

  /**
   * Returns whether the other candidate has precedence. Of two candidates for the same term, the
   * one whose name sorts first has precedence, as long as it keeps writing new requests.
   */
  private boolean hasPrecedence(VoteRequest other, long term) {
    if (other.candidate() == null
        || other.candidate().compareTo(self.node()) >= 0
        || other.term() != term) {
      return false;
    }
    unchangedReads = other.equals(lastOtherRequest) ? unchangedReads + 1 : 1;
    lastOtherRequest = other;
    return unchangedReads <= MAX_UNCHANGED_READS;
  }

  private void voteFor(VoteRequest other, long requestVersion, Runnable onVoteWritten) {
    if (other.candidate() == null
        || other.incarnation() == null
        || !leaseGrantor.tryGrant(
            new ControllerProcess(other.candidate(), other.incarnation()), other.term())) {
      onVoteWritten.run();
      return;
    }
    // A vote that is committed late must not replace a vote for a later request.
    Transaction transaction =
        new Transaction()
            .expectVersion(Keys.VOTE_REQUEST, requestVersion)
            .put(Keys.vote(self.node()), other.toVote().toJson());
    state.commit(transaction, RequestPriority.VITAL, result -> onVoteWritten.run());
  }

  private void writeRequest(
      long term,
      long previousVersion,
      Predicate<Set<String>> isQuorum,
      Consumer<Set<String>> onVotersKnown) {
    VoteRequest request = new VoteRequest(self.node(), self.incarnation(), term, ++requestCount);
    Transaction transaction =
        new Transaction()
            .expectVersion(Keys.VOTE_REQUEST, previousVersion)
            .put(Keys.VOTE_REQUEST, request.toJson());
    state.commit(
        transaction,
        RequestPriority.VITAL,
        result -> {
          if (result.isCommitted()) {
            scheduleVoteRead(request, 1, isQuorum, onVotersKnown);
          } else {
            onVotersKnown.accept(Set.of());
          }
        });
  }

  private void scheduleVoteRead(
      VoteRequest request,
      int readNumber,
      Predicate<Set<String>> isQuorum,
      Consumer<Set<String>> onVotersKnown) {
    loop.schedule(
        roundDurationS / READS_PER_ROUND,
        () -> readVotes(request, readNumber, isQuorum, onVotersKnown));
  }

  private void readVotes(
      VoteRequest request,
      int readNumber,
      Predicate<Set<String>> isQuorum,
      Consumer<Set<String>> onVotersKnown) {
    state.list(
        Keys.VOTES,
        RequestPriority.VITAL,
        votes -> {
          Set<String> voters = votes.map(listing -> votersFor(request, listing)).orElse(Set.of());
          if (isQuorum.test(voters) || readNumber >= READS_PER_ROUND) {
            onVotersKnown.accept(voters);
          } else {
            scheduleVoteRead(request, readNumber + 1, isQuorum, onVotersKnown);
          }
        });
  }

  private static Set<String> votersFor(VoteRequest request, Listing votes) {
    Set<String> voters = new HashSet<>();
    for (StoredEntry vote : votes.entries()) {
      if (Vote.parse(vote.value()).equals(request.toVote())) {
        voters.add(vote.key().substring(Keys.VOTES.length()));
      }
    }
    return voters;
  }
}
