package org.saffronshore.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.LongNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.saffronshore.FakeStateService;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;

class PagedRecordsTest {
  private static final int MAX_BYTES = 60;
  private final ManualEventLoop loop = new ManualEventLoop();
  private final FakeStateService service = new FakeStateService(loop);
  private final StateClient state = new StateClient(loop, service, TestData.settings());
  private final PagedRecords records =
      new PagedRecords("r/", new PageLimits(MAX_BYTES, 2 * MAX_BYTES));

  private boolean write(PagedRecords source) {
    Transaction transaction = new Transaction();
    PagedRecords.Batch batch = source.addChangedPages(transaction, 8, 1000);
    boolean[] written = new boolean[1];
    if (!batch.isEmpty()) {
      state.commit(
          transaction,
          RequestPriority.VITAL,
          result -> written[0] = batch.writeCompleted(state, result));
      loop.advance(2);
    }
    return written[0];
  }

  private Map<String, Long> stored() {
    Map<String, Long> all = new TreeMap<>();
    state.list(
        "r/",
        RequestPriority.VITAL,
        listing ->
            new PagedRecords("r/", new PageLimits(MAX_BYTES, 2 * MAX_BYTES))
                .load(
                    listing.orElseThrow().entries(),
                    (name, value) -> all.put(name, value.asLong())));
    loop.advance(1);
    return all;
  }

  @Test
  void manyEntriesAreWrittenToFewKeys() {
    for (int i = 0; i < 10; i++) {
      records.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(records));
    assertFalse(write(records), "no entry has changed");
    assertEquals(10, stored().size());
    assertTrue(service.version("r/1") > 0, "the size of a page must be bounded");
    assertEquals(0, service.version("r/2"), "pages must be filled before another one is created");
    records.put("host-3", LongNode.valueOf(33));
    for (int i = 4; i < 10; i++) {
      records.remove("host-" + i);
    }
    assertTrue(write(records));
    assertEquals(Map.of("host-0", 0L, "host-1", 1L, "host-2", 2L, "host-3", 33L), stored());
  }

  /**
   * An entry that must never be missing is replaced within its page; otherwise it stays unchanged.
   */
  @Test
  void replaceSucceedsOnlyWhileThePageHasRoom() {
    for (int i = 0; i < 5; i++) {
      records.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(records));
    long large = 1_000_000_000_000_000L;
    int replaced = 0;
    for (int i = 0; i < 5; i++) {
      replaced += records.replaceInPlace("host-" + i, LongNode.valueOf(large)) ? 1 : 0;
    }
    assertEquals(
        4,
        replaced,
        "5 entries of 11 bytes, each 15 bytes longer once replaced, in a page of 120 bytes");
    assertFalse(records.replaceInPlace("host-9", LongNode.valueOf(1)));
    assertTrue(write(records));
    assertEquals(0, service.version("r/1"));
    assertEquals(4L, stored().values().stream().filter(v -> v == large).count());
  }

  /**
   * A write that is executed late must not remove entries that were added in the meantime: the next
   * leader would not know of them.
   */
  @Test
  void lateWriteOfAnOlderPageIsRefused() {
    records.put("host-1", LongNode.valueOf(1));
    service.executionDelayed = (method, path) -> path.equals("/commit");
    assertFalse(write(records), "the outcome of the write must be unknown");
    service.executionDelayed = (method, path) -> false;
    records.put("host-2", LongNode.valueOf(2));
    assertTrue(write(records));
    service.executeDelayedRequests();
    assertEquals(Map.of("host-1", 1L, "host-2", 2L), stored());
  }

  /**
   * A write that is executed late must not restore removed entries in a page that has become empty
   * in the meantime.
   */
  @Test
  void lateWriteDoesNotRecreateEntriesOfAnEmptiedPage() {
    records.put("host-1", LongNode.valueOf(1));
    service.executionDelayed = (method, path) -> path.equals("/commit");
    assertFalse(write(records));
    service.executionDelayed = (method, path) -> false;
    assertTrue(write(records), "the repeated write must be executed before the late one");
    records.remove("host-1");
    assertTrue(write(records));
    service.executeDelayedRequests();
    assertEquals(Map.of(), stored());
  }

  /** Writes of a page must not fail with conflicts forever after a late write was executed. */
  @Test
  void versionIsReadAgainAfterALateWriteWasCarriedOut() {
    records.put("host-1", LongNode.valueOf(1));
    service.executionDelayed = (method, path) -> path.equals("/commit");
    assertFalse(write(records));
    service.executionDelayed = (method, path) -> false;
    service.executeDelayedRequests();
    records.put("host-2", LongNode.valueOf(2));
    assertFalse(write(records), "the late write has already created the key");
    assertTrue(write(records));
    assertEquals(Map.of("host-1", 1L, "host-2", 2L), stored());
  }

  @Test
  void writeOfUnknownOutcomeIsRepeated() {
    records.put("host-1", LongNode.valueOf(1));
    PagedRecords.Batch batch = records.addChangedPages(new Transaction(), 8, 1000);
    assertFalse(
        batch.writeCompleted(state, new CommitResult(CommitResult.Outcome.UNKNOWN, 0, Set.of())));
    assertTrue(write(records));
    assertEquals(Map.of("host-1", 1L), stored());
  }

  /**
   * A page that was written when the size limit of values was higher must be readable, and must be
   * split without any entry missing in between.
   */
  @Test
  void pageAboveTheLimitIsSplitWithoutMissingEntries() {
    PagedRecords recordsWithLongPages = new PagedRecords("r/", new PageLimits(1000, 2000));
    for (int i = 0; i < 30; i++) {
      recordsWithLongPages.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(recordsWithLongPages));
    service.valueBytesLimit = 2 * MAX_BYTES;
    state.list(
        "r/",
        RequestPriority.VITAL,
        listing -> records.load(listing.orElseThrow().entries(), (name, value) -> {}));
    loop.advance(1);
    assertTrue(records.isSplitting());
    // These removals may leave copies without entries that were never written.
    for (int i = 20; i < 30; i++) {
      records.remove("host-" + i);
    }
    for (int i = 0; i < 20 && records.isSplitting(); i++) {
      write(records);
      assertTrue(stored().size() >= 20);
    }
    assertFalse(records.isSplitting());
    write(records);
    assertEquals("{}", service.value("r/0").toString());
    assertEquals(20, stored().size());
    assertEquals(0, service.invalidTransactions);
  }
}
