package org.saffronshore.leadership;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.saffronshore.http.EventLoop;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.state.Vote;
import org.saffronshore.state.VoteRequest;

/**
 * Requests votes through the state service, for when the controllers do not reach one another
 * although it serves them. A candidate writes down its request. The others find it when they want
 * to campaign themselves, grant it their leases as they would if it had asked them directly, and
 * write down their votes. A vote for an earlier request does not count.
 */
final class StateServiceVoting {
  private static final int LOOKS = 5;

  /** After this many readings without a change, the candidate of a request counts as gone. */
  private static final int STALE = 3;

  /** Grants this node's lease to an incarnation of another one. */
  @FunctionalInterface
  interface Granter {
    boolean grant(String node, String life, long term);
  }

  private final EventLoop loop;
  private final StateClient state;
  private final String node;
  private final String incarnation;
  private final double roundS;
  private long requests;
  private VoteRequest lastSeen;
  private int seen;

  StateServiceVoting(
      EventLoop loop, StateClient state, String node, String incarnation, double roundS) {
    this.loop = loop;
    this.state = state;
    this.node = node;
    this.incarnation = incarnation;
    this.roundS = roundS;
  }

  /** Tells which nodes voted for this one; none when another candidate has precedence. */
  void requestVotes(
      long term, Granter granter, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    state.get(
        Keys.VOTE_REQUEST,
        RequestPriority.VITAL,
        key -> {
          if (key.isUnknown()) {
            then.accept(Set.of());
            return;
          }
          VoteRequest other = key.isFound() ? VoteRequest.parse(key.value()) : null;
          if (other != null && hasPrecedence(other, term)) {
            vote(other, key.version(), granter, () -> then.accept(Set.of()));
          } else {
            request(term, key.version(), enough, then);
          }
        });
  }

  /** Of two candidates the lesser name has precedence, as long as it keeps requesting. */
  private boolean hasPrecedence(VoteRequest other, long term) {
    if (other.node() == null || other.node().compareTo(node) >= 0 || other.term() != term) {
      return false;
    }
    seen = other.equals(lastSeen) ? seen + 1 : 1;
    lastSeen = other;
    return seen <= STALE;
  }

  private void vote(VoteRequest other, long version, Granter granter, Runnable then) {
    if (other.incarnation() == null
        || !granter.grant(other.node(), other.incarnation(), other.term())) {
      then.run();
      return;
    }
    // If it is carried out late, it must not replace a vote for a later request.
    Transaction txn =
        new Transaction()
            .expectVersion(Keys.VOTE_REQUEST, version)
            .put(Keys.vote(node), other.toVote().toJson());
    state.commit(txn, RequestPriority.VITAL, result -> then.run());
  }

  private void request(
      long term, long version, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    VoteRequest request = new VoteRequest(node, incarnation, term, ++requests);
    Transaction txn =
        new Transaction()
            .expectVersion(Keys.VOTE_REQUEST, version)
            .put(Keys.VOTE_REQUEST, request.toJson());
    state.commit(
        txn,
        RequestPriority.VITAL,
        result -> {
          if (result.isCommitted()) {
            loop.schedule(roundS / LOOKS, () -> readVotes(request, 1, enough, then));
          } else {
            then.accept(Set.of());
          }
        });
  }

  private void readVotes(
      VoteRequest request, int looks, Predicate<Set<String>> enough, Consumer<Set<String>> then) {
    state.list(
        Keys.VOTES,
        RequestPriority.VITAL,
        votes -> {
          Set<String> granted = new HashSet<>();
          if (votes.isPresent()) {
            votes.get().entries().stream()
                .filter(entry -> Vote.parse(entry.value()).equals(request.toVote()))
                .forEach(entry -> granted.add(entry.key().substring(Keys.VOTES.length())));
          }
          if (enough.test(granted) || looks >= LOOKS) {
            then.accept(granted);
          } else {
            loop.schedule(roundS / LOOKS, () -> readVotes(request, looks + 1, enough, then));
          }
        });
  }
}
