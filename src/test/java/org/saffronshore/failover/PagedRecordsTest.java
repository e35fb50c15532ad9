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
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;

class PagedRecordsTest {
  private static final int MAX_BYTES = 60;
  private final ManualEventLoop loop = new ManualEventLoop();
  private final FakeStateService service = new FakeStateService(loop);
  private final StateClient state = new StateClient(loop, service, TestData.settings());
  private final PagedRecords pages =
      new PagedRecords("r/", new PageLimits(MAX_BYTES, 2 * MAX_BYTES));

  private boolean write(PagedRecords from) {
    Transaction txn = new Transaction();
    PagedRecords.Batch batch = from.addTo(txn, 8, 1000);
    boolean[] ok = new boolean[1];
    if (!batch.isEmpty()) {
      state.commit(txn, true, answer -> ok[0] = batch.completed(state, answer));
      loop.pass(2);
    }
    return ok[0];
  }

  private Map<String, Long> stored() {
    Map<String, Long> all = new TreeMap<>();
    state.list(
        "r/",
        true,
        listing ->
            new PagedRecords("r/", new PageLimits(MAX_BYTES, 2 * MAX_BYTES))
                .load(listing.entries(), (name, value) -> all.put(name, value.asLong())));
    loop.pass(1);
    return all;
  }

  @Test
  void keepsManyEntriesInFewKeys() {
    for (int i = 0; i < 10; i++) {
      pages.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(pages));
    assertFalse(write(pages), "nothing has changed");
    assertEquals(10, stored().size());
    assertTrue(service.version("r/1") > 0, "a page has a bounded length");
    assertEquals(0, service.version("r/2"), "and is filled");
    pages.put("host-3", LongNode.valueOf(33));
    for (int i = 4; i < 10; i++) {
      pages.remove("host-" + i);
    }
    assertTrue(write(pages));
    assertEquals(Map.of("host-0", 0L, "host-1", 1L, "host-2", 2L, "host-3", 33L), stored());
  }

  /** What must not be missing for a moment is replaced where it stands, or not at all. */
  @Test
  void replacesInPlaceAsFarAsThePageMayGrow() {
    for (int i = 0; i < 5; i++) {
      pages.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(pages));
    long large = 1_000_000_000_000_000L;
    int replaced = 0;
    for (int i = 0; i < 5; i++) {
      replaced += pages.replace("host-" + i, LongNode.valueOf(large)) ? 1 : 0;
    }
    assertEquals(4, replaced, "5 of 11 bytes, each longer by 15, in 120");
    assertFalse(pages.replace("host-9", LongNode.valueOf(1)));
    assertTrue(write(pages));
    assertEquals(0, service.version("r/1"));
    assertEquals(4L, stored().values().stream().filter(v -> v == large).count());
  }

  /**
   * A late copy of an older page must not take away what was entered since: a leader would not look
   * for it.
   */
  @Test
  void anOlderPageThatComesLateChangesNothing() {
    pages.put("host-1", LongNode.valueOf(1));
    service.held = (method, path) -> path.equals("/commit");
    assertFalse(write(pages), "nobody knows whether it was carried out");
    service.held = (method, path) -> false;
    pages.put("host-2", LongNode.valueOf(2));
    assertTrue(write(pages));
    service.deliverLate();
    assertEquals(Map.of("host-1", 1L, "host-2", 2L), stored());
  }

  /** Nor may it bring back, in a page that was emptied since, what is not there any more. */
  @Test
  void aLateWriteDoesNotBringBackAnEmptiedPage() {
    pages.put("host-1", LongNode.valueOf(1));
    service.held = (method, path) -> path.equals("/commit");
    assertFalse(write(pages));
    service.held = (method, path) -> false;
    assertTrue(write(pages), "the repeat is carried out first");
    pages.remove("host-1");
    assertTrue(write(pages));
    service.deliverLate();
    assertEquals(Map.of(), stored());
  }

  /** Nor may a page be stuck for good once such a copy came through. */
  @Test
  void aLateWriteThatCameThroughIsFound() {
    pages.put("host-1", LongNode.valueOf(1));
    service.held = (method, path) -> path.equals("/commit");
    assertFalse(write(pages));
    service.held = (method, path) -> false;
    service.deliverLate();
    pages.put("host-2", LongNode.valueOf(2));
    assertFalse(write(pages), "the key is there by now");
    assertTrue(write(pages));
    assertEquals(Map.of("host-1", 1L, "host-2", 2L), stored());
  }

  @Test
  void aRefusedWriteIsRepeated() {
    pages.put("host-1", LongNode.valueOf(1));
    PagedRecords.Batch batch = pages.addTo(new Transaction(), 8, 1000);
    assertFalse(
        batch.completed(state, new CommitResult(CommitResult.Outcome.UNKNOWN, 0, Set.of())));
    assertTrue(write(pages));
    assertEquals(Map.of("host-1", 1L), stored());
  }

  /**
   * A page from a time when values could be longer is readable, and is split without an entry
   * missing for a moment.
   */
  @Test
  void aPageThatHasBecomeTooLongIsSplit() {
    PagedRecords former = new PagedRecords("r/", new PageLimits(1000, 2000));
    for (int i = 0; i < 30; i++) {
      former.put("host-" + i, LongNode.valueOf(i));
    }
    assertTrue(write(former));
    service.valueBytes = 2 * MAX_BYTES;
    state.list("r/", true, listing -> pages.load(listing.entries(), (name, value) -> {}));
    loop.pass(1);
    assertTrue(pages.isSplitting());
    // Of what is taken out meanwhile a copy may be left that was never written.
    for (int i = 20; i < 30; i++) {
      pages.remove("host-" + i);
    }
    for (int i = 0; i < 20 && pages.isSplitting(); i++) {
      write(pages);
      assertTrue(stored().size() >= 20);
    }
    assertFalse(pages.isSplitting());
    write(pages);
    assertEquals("{}", service.value("r/0").toString());
    assertEquals(20, stored().size());
    assertEquals(0, service.malformed);
  }
}
