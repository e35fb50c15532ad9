package org.saffronshore.failover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.StoredEntry;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.Json;

/**
 * Stores many small entries in a few keys of the state service, called pages, since every key that
 * is written counts against the request budget of all controllers. The entries are owned by one
 * leader, which loads them when its term begins and writes them in transactions that are
 * conditional on its version of the leader key. The values of entries are opaque to this class.
 */
final class PagedRecords {
  /** The bytes of an entry beside its name and its value: two quotes, a colon and a comma. */
  private static final int ENTRY_OVERHEAD_BYTES = 4;

  private static final int QUOTES_BYTES = 2;

  private static final class Page {
    final String key;
    final Map<String, JsonNode> entries = new LinkedHashMap<>();
    int bytes;
    boolean dirty;

    /** The version of the key; 0 if the key does not exist. */
    long version;

    /**
     * Whether the version of the key is being read, because a conflict showed that an earlier write
     * of unknown outcome had been executed.
     */
    boolean versionReadInFlight;

    /**
     * Pages to which entries of this page were copied and that are not written yet. This page is
     * not written until all of them are.
     */
    final Set<Page> unwrittenCopies = new HashSet<>();

    Page(String key) {
      this.key = key;
    }
  }

  private final String prefix;
  private final PageLimits limits;
  private final Map<Integer, Page> pages = new TreeMap<>();
  private final Map<String, Page> pagesByEntry = new LinkedHashMap<>();

  /**
   * Creates an empty set of entries.
   *
   * @param prefix the prefix of the keys of pages, which is followed by the number of the page
   */
  PagedRecords(String prefix, PageLimits limits) {
    this.prefix = prefix;
    this.limits = limits;
  }

  /** Loads the stored pages, and passes the name and the value of each entry to a consumer. */
  void load(List<StoredEntry> stored, BiConsumer<String, JsonNode> eachEntry) {
    for (StoredEntry storedPage : stored) {
      int number;
      try {
        number = Integer.parseInt(storedPage.key().substring(prefix.length()));
      } catch (NumberFormatException notAPage) {
        continue;
      }
      Page page = new Page(storedPage.key());
      page.version = storedPage.version();
      pages.put(number, page);
      storedPage
          .value()
          .properties()
          .forEach(
              entry -> {
                add(page, entry.getKey(), entry.getValue());
                eachEntry.accept(entry.getKey(), entry.getValue());
              });
    }
    new ArrayList<>(pages.values())
        .stream().filter(page -> page.bytes > limits.maxBytes()).forEach(this::split);
  }

  /**
   * Splits a page that was written when the size limit of values was higher. Its entries are copied
   * to other pages, and the page itself is rewritten only after these are written, so that no entry
   * is ever missing in the state service. An entry that is too long for any page remains in the old
   * page, which cannot be written until that entry is removed.
   */
  private void split(Page old) {
    for (Map.Entry<String, JsonNode> entry : List.copyOf(old.entries.entrySet())) {
      int size = entrySize(entry.getKey(), entry.getValue());
      if (size <= limits.maxBytes()) {
        old.entries.remove(entry.getKey());
        old.bytes -= size;
        Page copy = findOrCreatePage(size);
        add(copy, entry.getKey(), entry.getValue());
        copy.dirty = true;
        old.unwrittenCopies.add(copy);
      }
    }
    old.dirty = true;
  }

  /**
   * Returns whether entries are being moved out of pages that exceed the limit. Meanwhile, some
   * entries may be stored in two pages.
   */
  boolean isSplitting() {
    return pages.values().stream().anyMatch(page -> !page.unwrittenCopies.isEmpty());
  }

  private static int entrySize(String name, JsonNode value) {
    return name.length()
        + ENTRY_OVERHEAD_BYTES
        + (value.isTextual()
            ? value.textValue().length() + QUOTES_BYTES
            : value.toString().length());
  }

  private void add(Page page, String name, JsonNode value) {
    page.entries.put(name, value);
    page.bytes += entrySize(name, value);
    pagesByEntry.put(name, page);
  }

  /** Adds or replaces an entry. An entry that no longer fits into its page is moved to another. */
  void put(String name, JsonNode value) {
    if (replaceInPlace(name, value)) {
      return;
    }
    remove(name);
    Page page = findOrCreatePage(entrySize(name, value));
    add(page, name, value);
    page.dirty = true;
  }

  /**
   * Replaces an entry without moving it to another page.
   *
   * @return false if the entry does not exist, or if its page has no room for the new value
   */
  boolean replaceInPlace(String name, JsonNode value) {
    Page page = pagesByEntry.get(name);
    if (page == null
        || page.bytes - currentEntrySize(page, name) + entrySize(name, value) > limits.maxBytes()) {
      return false;
    }
    remove(name);
    add(page, name, value);
    return true;
  }

  private static int currentEntrySize(Page page, String name) {
    @Nullable JsonNode value = page.entries.get(name);
    return value == null ? 0 : entrySize(name, value);
  }

  private Page findOrCreatePage(int size) {
    int unusedNumber = 0;
    for (Map.Entry<Integer, Page> numbered : pages.entrySet()) {
      Page page = numbered.getValue();
      if (page.unwrittenCopies.isEmpty()
          && (page.entries.isEmpty() || page.bytes + size <= limits.fillBytes())) {
        return page;
      }
      unusedNumber = Math.max(unusedNumber, numbered.getKey() + 1);
    }
    Page page = new Page(prefix + unusedNumber);
    pages.put(unusedNumber, page);
    return page;
  }

  void remove(String name) {
    Page page = pagesByEntry.remove(name);
    if (page != null) {
      page.bytes -= currentEntrySize(page, name);
      page.entries.remove(name);
      page.dirty = true;
    }
  }

  /** Returns the names of all entries, as a live view. */
  Set<String> entryNames() {
    return pagesByEntry.keySet();
  }

  /**
   * Adds changed pages to a transaction, as many as it has room for. The result of the transaction
   * must be passed to {@link Batch#writeCompleted}.
   *
   * @param maxWrites the maximum number of writes in the transaction
   * @param maxBytes the maximum total size of the added pages; a single page may be larger
   */
  Batch addChangedPages(Transaction transaction, int maxWrites, int maxBytes) {
    Batch batch = new Batch();
    int bytes = 0;
    // A copy whose entries were all removed before it was first written need not be written.
    pages
        .values()
        .forEach(
            page ->
                page.unwrittenCopies.removeIf(copy -> copy.version == 0 && copy.entries.isEmpty()));
    for (Page page : pages.values()) {
      if (!isReadyToWrite(page)) {
        continue;
      }
      if (transaction.writeCount() >= maxWrites
          || (!batch.isEmpty() && bytes + page.bytes > maxBytes)) {
        break;
      }
      // Without this condition, a write that is executed late would overwrite a newer page with an
      // older one. For the same reason, the key of an empty page is not deleted: a late write that
      // expects the key to be absent could create it again.
      transaction.expectVersion(page.key, page.version);
      ObjectNode value = Json.object();
      page.entries.forEach(value::set);
      transaction.put(page.key, value);
      bytes += page.bytes;
      page.dirty = false;
      batch.pages.add(page);
    }
    return batch;
  }

  private boolean isReadyToWrite(Page page) {
    return page.dirty
        && !page.versionReadInFlight
        && page.unwrittenCopies.isEmpty()
        && page.bytes <= limits.maxBytes()
        && (page.version != 0 || !page.entries.isEmpty());
  }

  /** The pages that are written by one transaction. */
  final class Batch {
    private final List<Page> pages = new ArrayList<>();

    boolean isEmpty() {
      return pages.isEmpty();
    }

    /** Returns whether the entry is in one of these pages. */
    boolean contains(String name) {
      Page page = pagesByEntry.get(name);
      return page != null && pages.contains(page);
    }

    /**
     * Handles the result of the transaction. A write whose response was lost may still be executed.
     * It is repeated; if the first write was executed, the version condition of the repeated write
     * fails, and the version is read again.
     *
     * @return whether the write is known to have been executed
     */
    boolean writeCompleted(StateClient state, CommitResult result) {
      if (result.isCommitted()) {
        pages.forEach(page -> page.version = result.revision());
        PagedRecords.this.pages.values().forEach(page -> page.unwrittenCopies.removeAll(pages));
        return true;
      }
      for (Page page : pages) {
        page.dirty = true;
        if (result.conflictingKeys().contains(page.key)) {
          readVersion(state, page);
        }
      }
      return false;
    }

    private void readVersion(StateClient state, Page page) {
      page.versionReadInFlight = true;
      state.get(
          page.key,
          RequestPriority.VITAL,
          result -> {
            page.versionReadInFlight = false;
            if (!result.isUnknown()) {
              page.version = result.version();
            }
          });
    }
  }
}
