package org.saffronshore.failover;

import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.leadership.LeaderTerm;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;

/**
 * Transactions of one term. Each is conditional on the version of the leader key that this term
 * wrote, so that nothing is committed after another leader was elected. A conflict on that key
 * makes the leader step down.
 */
final class TermTransactions {
  /**
   * The maximum total size of the pages in a transaction. A transaction may be 64 KiB long; this
   * leaves room for its conditions.
   */
  private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

  private final StateClient state;
  private final LeaderTerm term;
  private final int maxWrites;

  TermTransactions(StateClient state, Settings settings, LeaderTerm term) {
    this.state = state;
    this.term = term;
    this.maxWrites = settings.maxTransactionWrites();
  }

  /** Begins a transaction that is conditional on this term's version of the leader key. */
  Transaction begin() {
    return new Transaction().expectVersion(Keys.LEADER, term.leaderKeyVersion());
  }

  /** Adds changed pages to a transaction, as many as it has room for. */
  PagedRecords.Batch addChangedPages(Transaction transaction, PagedRecords records) {
    return records.addChangedPages(transaction, maxWrites, MAX_TRANSACTION_BYTES);
  }

  /**
   * Commits a transaction.
   *
   * @param priority whether the transaction may use the reserve of the rate limiter
   * @param callback receives the result, unless the term has ended by then
   */
  void commit(Transaction transaction, RequestPriority priority, Consumer<CommitResult> callback) {
    state.commit(
        transaction,
        priority,
        result -> {
          if (term.hasEnded()) {
            return;
          }
          callback.accept(result);
          stepDownIfSuperseded(result);
        });
  }

  /**
   * Commits a transaction that writes pages.
   *
   * @param batch the pages that were added to the transaction
   * @param callback receives whether the pages are known to have been written, unless the term has
   *     ended by then
   */
  void commitPages(Transaction transaction, PagedRecords.Batch batch, Consumer<Boolean> callback) {
    state.commit(
        transaction,
        RequestPriority.VITAL,
        result -> {
          boolean written = batch.writeCompleted(state, result);
          if (term.hasEnded()) {
            return;
          }
          callback.accept(written);
          stepDownIfSuperseded(result);
        });
  }

  private void stepDownIfSuperseded(CommitResult result) {
    if (result.conflictingKeys().contains(Keys.LEADER)) {
      term.stepDown("leader key is not at the version that this term wrote");
    }
  }
}
