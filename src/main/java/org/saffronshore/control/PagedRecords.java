package org.saffronshore.control;

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
import org.saffronshore.state.CommitResult;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.StoredEntry;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.Json;

/**
 * Many small records in few keys of the state service, where every key that is written counts
 * against the budget of all nodes. One leader owns them: it reads them when its term begins, and
 * its writes are guarded by its key.
 */
final class PagedRecords {
  /** What an entry takes beside its name and its value: quotes, a colon and a comma. */
  private static final int MARKS = 4;

  private static final class Page {
    final String key;
    final Map<String, JsonNode> entries = new LinkedHashMap<>();
    int bytes;
    boolean dirty;

    /** Version of the key; 0 where there is none. */
    long version;

    /**
     * Its version is being asked for, since a write of unknown outcome turned out to have been
     * carried out.
     */
    boolean asking;

    /**
     * Pages that its entries were copied to, and that are not written yet: until then it stays as
     * it is.
     */
    final Set<Page> copiedTo = new HashSet<>();

    Page(String key) {
      this.key = key;
    }
  }

  private final String prefix;
  private final int fillBytes;
  private final int maxBytes;
  private final Map<Integer, Page> pages = new TreeMap<>();
  private final Map<String, Page> byName = new LinkedHashMap<>();

  /**
   * @param fillBytes how long a page may become by new entries; one entry alone may be longer
   * @param maxBytes how long it may become as its entries grow
   */
  PagedRecords(String prefix, int fillBytes, int maxBytes) {
    this.prefix = prefix;
    this.fillBytes = fillBytes;
    this.maxBytes = maxBytes;
  }

  void read(List<StoredEntry> stored, BiConsumer<String, JsonNode> each) {
    for (StoredEntry e : stored) {
      int number;
      try {
        number = Integer.parseInt(e.key().substring(prefix.length()));
      } catch (NumberFormatException ex) {
        continue;
      }
      Page page = new Page(e.key());
      page.version = e.version();
      pages.put(number, page);
      e.value()
          .properties()
          .forEach(
              f -> {
                add(page, f.getKey(), f.getValue());
                each.accept(f.getKey(), f.getValue());
              });
    }
    new ArrayList<>(pages.values())
        .stream().filter(page -> page.bytes > maxBytes).forEach(this::split);
  }

  /**
   * A page from a time when values could be longer. What it holds is copied to other pages, and
   * only once these are written it is written anew itself, so that nothing is missing for a moment.
   * An entry that is too long for any page stays alone in the old one, which cannot be written
   * until that entry is taken out.
   */
  private void split(Page old) {
    for (Map.Entry<String, JsonNode> e : List.copyOf(old.entries.entrySet())) {
      int size = size(e.getKey(), e.getValue());
      if (size <= maxBytes) {
        old.entries.remove(e.getKey());
        old.bytes -= size;
        Page copy = withRoom(size);
        add(copy, e.getKey(), e.getValue());
        copy.dirty = true;
        old.copiedTo.add(copy);
      }
    }
    old.dirty = true;
  }

  /**
   * Whether entries are being moved from pages that have become too long: some may stand in two
   * pages.
   */
  boolean splitting() {
    return pages.values().stream().anyMatch(page -> !page.copiedTo.isEmpty());
  }

  private static int size(String name, JsonNode value) {
    return name.length()
        + MARKS
        + (value.isTextual() ? value.textValue().length() + 2 : value.toString().length());
  }

  private void add(Page page, String name, JsonNode value) {
    page.entries.put(name, value);
    page.bytes += size(name, value);
    byName.put(name, page);
  }

  /** Enters or replaces; an entry that outgrows its page is moved to another one. */
  void put(String name, JsonNode value) {
    if (replace(name, value)) {
      return;
    }
    remove(name);
    Page page = withRoom(size(name, value));
    add(page, name, value);
    page.dirty = true;
  }

  /**
   * Replaces an entry where it stands; false when there is none, or no room there for what it would
   * become.
   */
  boolean replace(String name, JsonNode value) {
    Page page = byName.get(name);
    if (page == null
        || page.bytes - size(name, page.entries.get(name)) + size(name, value) > maxBytes) {
      return false;
    }
    remove(name);
    add(page, name, value);
    return true;
  }

  private Page withRoom(int size) {
    int free = 0;
    for (Map.Entry<Integer, Page> e : pages.entrySet()) {
      Page page = e.getValue();
      if (page.copiedTo.isEmpty() && (page.entries.isEmpty() || page.bytes + size <= fillBytes)) {
        return page;
      }
      free = Math.max(free, e.getKey() + 1);
    }
    Page page = new Page(prefix + free);
    pages.put(free, page);
    return page;
  }

  void remove(String name) {
    Page page = byName.remove(name);
    if (page != null) {
      page.bytes -= size(name, page.entries.remove(name));
      page.dirty = true;
    }
  }

  Set<String> names() {
    return byName.keySet();
  }

  /**
   * Adds changed pages to a transaction, as far as it has room; the batch must be told what became
   * of it.
   */
  Batch addTo(Transaction txn, int maxChanges, int maxTxnBytes) {
    Batch batch = new Batch();
    int bytes = 0;
    // A copy whose entries were all taken out before it was ever written need not be.
    pages
        .values()
        .forEach(
            page -> page.copiedTo.removeIf(copy -> copy.version == 0 && copy.entries.isEmpty()));
    for (Page page : pages.values()) {
      boolean waits = page.asking || !page.copiedTo.isEmpty() || page.bytes > maxBytes;
      if (!page.dirty || waits || (page.version == 0 && page.entries.isEmpty())) {
        continue;
      }
      if (txn.writeCount() >= maxChanges
          || (!batch.pages.isEmpty() && bytes + page.bytes > maxTxnBytes)) {
        break;
      }
      // Without this guard a write that is carried out late would put an older page over a newer
      // one.
      // And a page that has become empty stays: with its key gone, a late write that created it
      // could do so again.
      txn.expectVersion(page.key, page.version);
      ObjectNode value = Json.object();
      page.entries.forEach(value::set);
      txn.put(page.key, value);
      bytes += page.bytes;
      page.dirty = false;
      batch.pages.add(page);
    }
    return batch;
  }

  /** Pages that are being written. */
  final class Batch {
    private final List<Page> pages = new ArrayList<>();

    boolean isEmpty() {
      return pages.isEmpty();
    }

    /** Whether the entry stands in one of these pages. */
    boolean holds(String name) {
      return pages.contains(byName.get(name));
    }

    /**
     * What became of the write; true when it was carried out. One whose answer was lost may yet be:
     * it is repeated, and should the first have come through, the guard of the repeat fails and
     * tells so.
     */
    boolean written(StateClient state, CommitResult result) {
      if (result.isCommitted()) {
        pages.forEach(page -> page.version = result.revision());
        PagedRecords.this.pages.values().forEach(page -> page.copiedTo.removeAll(pages));
        return true;
      }
      for (Page page : pages) {
        page.dirty = true;
        if (result.conflictingKeys().contains(page.key)) {
          ask(state, page);
        }
      }
      return false;
    }

    private void ask(StateClient state, Page page) {
      page.asking = true;
      state.get(
          page.key,
          RequestPriority.VITAL,
          answer -> {
            page.asking = false;
            if (!answer.isUnknown()) {
              page.version = answer.version();
            }
          });
    }
  }
}
