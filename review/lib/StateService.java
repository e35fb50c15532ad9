import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the state service, as PROTOCOL describes it. */
final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_ITEMS = 1_000;

  private record Entry(JsonNode value, long version, long lease) {}

  private record Change(long revision, String key, JsonNode value) {}

  private static final class Lease {
    final long lifeMs;
    long endsAtNs;

    Lease(long lifeMs) {
      this.lifeMs = lifeMs;
      renew();
    }

    void renew() {
      endsAtNs = System.nanoTime() + lifeMs * 1_000_000;
    }
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long ledger = 1;
  private long lastLease;
  private long droppedUpTo;
  final int port;

  StateService() throws IOException {
    port = Http.freePort();
    Http.serve(port, this::handle);
    Http.THREADS.execute(this::endLeases);
  }

  private void endLeases() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        for (Map.Entry<Long, Lease> lease : new HashMap<>(leases).entrySet()) {
          if (System.nanoTime() > lease.getValue().endsAtNs) {
            end(lease.getKey());
          }
        }
      }
    }
  }

  private Http.Reply handle(String method, String path, Map<String, String> query, byte[] body)
      throws Exception {
    if (path.equals("/kv")) {
      return list(query);
    } else if (path.startsWith("/kv/")) {
      return get(path.substring(4));
    } else if (path.equals("/commit")) {
      return commit(Http.JSON.readTree(body));
    } else if (path.equals("/changes")) {
      return watch(query);
    } else if (path.equals("/holds")) {
      return grant(Http.JSON.readTree(body).get("LifeMs").asLong());
    } else if (path.startsWith("/holds/")) {
      String[] parts = path.split("/");
      return method.equals("DELETE") ? revoke(Long.parseLong(parts[2])) : renew(Long.parseLong(parts[2]));
    }
    return new Http.Reply(400, Http.object());
  }

  private synchronized Http.Reply get(String key) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return new Http.Reply(404, Http.object().put("Ledger", ledger));
    }
    return new Http.Reply(200, item(key, entry));
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode item = Http.object().put("K", key).put("Stamp", entry.version);
    item.set("Data", entry.value);
    if (entry.lease != 0) {
      item.put("Permit", entry.lease);
    }
    return item;
  }

  private synchronized Http.Reply list(Map<String, String> query) {
    String under = query.getOrDefault("Under", "");
    String after = query.getOrDefault("After", "");
    int most = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("Most", "1000")));
    ObjectNode reply = Http.object();
    ArrayNode items = reply.putArray("Items");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> entry : entries.tailMap(under, true).entrySet()) {
      String key = entry.getKey();
      if (!key.startsWith(under)) {
        break;
      }
      if (key.compareTo(after) <= 0) {
        continue;
      }
      ObjectNode item = item(key, entry.getValue());
      bytes += item.toString().length();
      if (items.size() >= most || (items.size() > 0 && bytes > 512 * 1024)) {
        more = true;
        break;
      }
      items.add(item);
    }
    reply.put("Truncated", more).put("Ledger", ledger);
    return new Http.Reply(200, reply);
  }

  private synchronized Http.Reply commit(JsonNode transaction) {
    ArrayNode failed = Http.JSON.createArrayNode();
    for (JsonNode guard : transaction.path("Guards")) {
      Entry entry = entries.get(guard.get("K").asText());
      if ((entry == null ? 0 : entry.version) != guard.get("Stamp").asLong()) {
        failed.add(guard.get("K").asText());
      }
    }
    for (JsonNode write : transaction.path("Then")) {
      if (write.has("Permit") && !leases.containsKey(write.get("Permit").asLong())) {
        return new Http.Reply(400, Http.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode reply = Http.object().put("Ledger", ledger);
      reply.set("failed", failed);
      return new Http.Reply(409, reply);
    }
    if (transaction.path("Then").size() > 0) {
      ledger++;
      for (JsonNode write : transaction.get("Then")) {
        if (write.has("Set")) {
          String key = write.get("Set").asText();
          entries.put(key, new Entry(write.get("Data"), ledger, write.path("Permit").asLong(0)));
          changed(key, write.get("Data"));
        } else {
          String key = write.get("Remove").asText();
          if (entries.remove(key) != null) {
            changed(key, null);
          }
        }
      }
      notifyAll();
    }
    return new Http.Reply(200, Http.object().put("Ledger", ledger));
  }

  private void changed(String key, JsonNode value) {
    changes.addLast(new Change(ledger, key, value));
    while (changes.size() > KEPT_CHANGES) {
      droppedUpTo = changes.removeFirst().revision;
    }
  }

  private synchronized Http.Reply watch(Map<String, String> query) throws InterruptedException {
    String under = query.getOrDefault("Under", "");
    long after = Long.parseLong(query.getOrDefault("After", "0"));
    long endNs = System.nanoTime() + Long.parseLong(query.getOrDefault("HoldMs", "0")) * 1_000_000;
    while (true) {
      if (after < droppedUpTo) {
        return new Http.Reply(410, Http.object());
      }
      ObjectNode reply = Http.object();
      ArrayNode events = reply.putArray("Events");
      for (Change change : changes) {
        if (change.revision > after && change.key.startsWith(under)) {
          ObjectNode event = events.addObject();
          if (change.value == null) {
            event.put("Remove", change.key);
          } else {
            event.put("Set", change.key);
            event.set("Data", change.value);
          }
          event.put("Stamp", change.revision);
        }
      }
      long leftMs = (endNs - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || leftMs <= 0) {
        return new Http.Reply(200, reply.put("Ledger", ledger));
      }
      wait(leftMs);
    }
  }

  private synchronized Http.Reply grant(long lifeMs) {
    leases.put(++lastLease, new Lease(lifeMs));
    return new Http.Reply(200, Http.object().put("Permit", lastLease));
  }

  private synchronized Http.Reply renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Http.Reply(404, Http.object());
    }
    lease.renew();
    return new Http.Reply(200, Http.object().put("Permit", id));
  }

  private synchronized Http.Reply revoke(long id) {
    if (!leases.containsKey(id)) {
      return new Http.Reply(404, Http.object());
    }
    end(id);
    return new Http.Reply(200, Http.object());
  }

  private void end(long id) {
    leases.remove(id);
    boolean any = false;
    for (Map.Entry<String, Entry> entry : new TreeMap<>(entries).entrySet()) {
      if (entry.getValue().lease == id) {
        if (!any) {
          ledger++;
          any = true;
        }
        entries.remove(entry.getKey());
        changed(entry.getKey(), null);
      }
    }
    notifyAll();
  }
}
