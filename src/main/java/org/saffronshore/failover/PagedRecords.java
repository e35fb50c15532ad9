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
 * Many small records in few keys of the state service, where every key that is written counts
 * against the budget of all controllers. One leader owns them: it loads them when its term begins,
 * and its writes expect the leader's key as it wrote it. The values of entries are opaque here.
 */
final class PagedRecords {
  /** What an entry takes beside its name and its value: quotes, a colon and a comma. */
  private static final int ENTRY_OVERHEAD_BYTES = 4;

  private static final int QUOTES_BYTES = 2;

  private static final class Page {
    final String key;
    final Map<String, JsonNode> entries = new LinkedHashMap<>();
    int bytes;
    boolean dirty;

    /** Version of the key; 0 where there is none. */
    long version;

    /**
     * Its version is being read, since a write of unknown outcome turned out to have been carried
     * out.
     */
    boolean versionReadInFlight;

    /**
     * Pages that its entries were copied to, and that are not written yet: until then it stays as
     * it is.
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
   * Creates records of which none is stored yet.
   *
   * @param prefix of the pages' keys, which end in the pages' numbers
   */
  PagedRecords(String prefix, PageLimits limits) {
    this.prefix = prefix;
    this.limits = limits;
  }

  /** Takes the stored pages, and hands each entry on by its name and its value. */
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
   * Splits a page from a time when values could be longer. Its entries are copied to other pages,
   * and only once these are written it is written anew itself, so that nothing is missing for a
   * moment. An entry that is too long for any page stays alone in the old one, which cannot be
   * written until that entry is removed.
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
   * Whether entries are being moved from pages that have become too long: some may stand in two
   * pages.
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

  /** Adds or replaces an entry; one that outgrows its page is moved to another one. */
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
   * Replaces an entry where it stands; false when there is none, or no room there for its new
   * value.
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

  /** The names of all entries; a view, which changes with them. */
  Set<String> entryNames() {
    return pagesByEntry.keySet();
  }

  /**
   * Adds changed pages to a transaction, as far as it has room. The result of the transaction must
   * be given to {@link Batch#writeCompleted}.
   */
  Batch addChangedPages(Transaction transaction, int maxWrites, int maxBytes) {
    Batch batch = new Batch();
    int bytes = 0;
    // A copy whose entries were all removed before it was ever written need not be.
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
      // Without this condition a write that is carried out late would put an older page over a
      // newer one. And a page that has become empty stays: with its key gone, a late write that
      // created it could do so again.
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

  /** Pages that are being written. */
  final class Batch {
    private final List<Page> pages = new ArrayList<>();

    boolean isEmpty() {
      return pages.isEmpty();
    }

    /** Whether the entry stands in one of these pages. */
    boolean contains(String name) {
      Page page = pagesByEntry.get(name);
      return page != null && pages.contains(page);
    }

    /**
     * Takes the result of the write; true when it was surely carried out. One whose response was
     * lost may yet be: it is repeated, and should the first have been carried out, the condition of
     * the repeat fails and shows that.
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
