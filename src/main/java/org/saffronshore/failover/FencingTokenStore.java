package org.saffronshore.failover;

import org.saffronshore.config.Settings;
import org.saffronshore.http.EventLoop;
import org.saffronshore.leadership.FencingTokens;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.LeaderRecord;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reserves fencing tokens for this term in the term key. While the leader key is unchanged only
 * this leader writes the term key, so the number in it is never smaller than a token of this term,
 * and the next leader's term is larger. A token is used only after its reservation was confirmed.
 */
final class FencingTokenStore {
  private static final Logger LOG = LoggerFactory.getLogger(FencingTokenStore.class);

  private final EventLoop loop;
  private final StateClient state;
  private final TermTransactions transactions;
  private final LeaderTerm term;
  private final LeaderRecord leader;
  private final FencingTokens tokens;
  private final double retryDelayS;

  /** The number in the term key, as last read or written; may be outdated after a lost response. */
  private long storedNumber;

  /** The version of the term key, as last read or written. */
  private long keyVersion;

  private boolean requestInFlight;
  private double nextRequestAt = Double.NEGATIVE_INFINITY;

  /** Creates the store of one term. The election has just written the term key. */
  FencingTokenStore(
      EventLoop loop,
      Settings settings,
      StateClient state,
      TermTransactions transactions,
      LeaderTerm term) {
    this.loop = loop;
    this.state = state;
    this.transactions = transactions;
    this.term = term;
    this.leader = new LeaderRecord(settings.node(), term.incarnation(), term.number());
    this.tokens = term.fencingTokens();
    this.retryDelayS = settings.heartbeatIntervalS() / 10;
    this.storedNumber = term.number();
    // The transaction of the election wrote both keys, so they have the same version.
    this.keyVersion = term.leaderKeyVersion();
  }

  /** Reserves the next block of tokens if it is due and no request is in flight. */
  void save() {
    if (requestInFlight || loop.now() < nextRequestAt || !tokens.isReservationDue()) {
      return;
    }
    requestInFlight = true;
    long lastToken = tokens.endOfNextBlock(storedNumber);
    Transaction transaction =
        transactions
            .begin()
            .expectVersion(Keys.TERM, keyVersion)
            .put(Keys.TERM, leader.withTerm(lastToken).toJson());
    transactions.commit(
        transaction, RequestPriority.VITAL, result -> writeCompleted(lastToken, result));
  }

  private void writeCompleted(long lastToken, CommitResult result) {
    if (result.isCommitted()) {
      requestInFlight = false;
      storedNumber = lastToken;
      keyVersion = result.revision();
      tokens.reservedUpTo(lastToken);
      LOG.debug("Fencing tokens reserved: term={} last_token={}", term.number(), lastToken);
      return;
    }
    // This write, or an earlier one whose response was lost, may have changed the key.
    state.get(Keys.TERM, RequestPriority.VITAL, this::keyRead);
  }

  private void keyRead(GetResult key) {
    requestInFlight = false;
    nextRequestAt = loop.now() + retryDelayS;
    if (key.isFound()) {
      storedNumber = Math.max(storedNumber, LeaderRecord.parse(key.value()).term());
      keyVersion = key.version();
    }
  }
}
