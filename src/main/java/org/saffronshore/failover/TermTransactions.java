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
 * Transactions of one term. Each expects the leader's key as this term wrote it, so that nothing is
 * committed after another leader was elected; a conflict on that key ends the term.
 */
final class TermTransactions {
  /** A transaction may be 64 KiB long; this leaves room for its conditions. */
  private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

  private final StateClient state;
  private final LeaderTerm term;
  private final int maxWrites;

  TermTransactions(StateClient state, Settings settings, LeaderTerm term) {
    this.state = state;
    this.term = term;
    this.maxWrites = settings.maxTransactionWrites();
  }

  /** A transaction that is committed only while this term lasts. */
  Transaction begin() {
    return new Transaction().expectVersion(Keys.LEADER, term.leaderKeyVersion());
  }

  /** Adds the changed pages to a transaction, as far as it has room. */
  PagedRecords.Batch addChangedPages(Transaction transaction, PagedRecords records) {
    return records.addChangedPages(transaction, maxWrites, MAX_TRANSACTION_BYTES);
  }

  /**
   * Commits a transaction.
   *
   * @param priority whether it may use the part of the rate that is kept for what cannot wait
   * @param then receives the result unless the term has ended by then
   */
  void commit(Transaction transaction, RequestPriority priority, Consumer<CommitResult> then) {
    state.commit(
        transaction,
        priority,
        result -> {
          if (term.hasEnded()) {
            return;
          }
          then.accept(result);
          stepDownIfSuperseded(result);
        });
  }

  /**
   * Commits pages.
   *
   * @param then receives whether they were surely written, unless the term has ended by then
   */
  void commitPages(Transaction transaction, PagedRecords.Batch batch, Consumer<Boolean> then) {
    state.commit(
        transaction,
        RequestPriority.VITAL,
        result -> {
          boolean written = batch.writeCompleted(state, result);
          if (term.hasEnded()) {
            return;
          }
          then.accept(written);
          stepDownIfSuperseded(result);
        });
  }

  private void stepDownIfSuperseded(CommitResult result) {
    if (result.conflictingKeys().contains(Keys.LEADER)) {
      term.stepDown("the leader's key is not its own any more");
    }
  }
}
