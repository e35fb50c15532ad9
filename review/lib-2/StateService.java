package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** The state service: one store, with a port and a gate for each controller. */
public final class StateService {
  private record Entry(JsonNode data, long stamp, long permit) {}

  private record Event(String key, JsonNode data, long stamp) {}

  private static final class Lease {
    long lifeMs;
    double endsAt;
  }

  private final Recorder recorder;
  private final NavigableMap<String, Entry> keys = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long ledger = 100;
  private long lastLease = 6;
  private boolean outage;
  /** When the leader key was set, by term. */
  private final TreeMap<Long, Double> terms = new TreeMap<>();

  private final Bucket requests;
  private Bucket writes;
  private int maxValueBytes = 16 * 1024;
  private int maxWrites = Integer.MAX_VALUE;

  /** A rate limit with a burst of one second. */
  private static final class Bucket {
    final double rate;
    double tokens;
    double at;

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(double amount, double now) {
      tokens = Math.min(rate, tokens + (now - at) * rate);
      at = now;
      if (tokens < amount) {
        return false;
      }
      tokens -= amount;
      return true;
    }
  }

  public StateService(Recorder recorder, double rps, double writeRps) {
    this.recorder = recorder;
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    Http.THREADS.execute(this::expireLeases);
  }

  /** Serves one controller on a free port. */
  public HttpServer serve(Gate gate) throws Exception {
    return Http.serve((method, path, query, body) -> handle(gate, method, path, query, body));
  }

  /** Begins or ends an outage; after it every lease has its full time once more. */
  public synchronized void outage(boolean on) {
    outage = on;
    if (!on) {
      leases.values().forEach(lease -> lease.endsAt = recorder.now() + lease.lifeMs / 1000.0);
    }
    notifyAll();
  }

  /**
   * Returns the first later term whose leader key was set before a moment, for the term that a token
   * belongs to; 0 if there is none.
   */
  public synchronized long termAfter(long token, double before) {
    Map.Entry<Long, Double> next = terms.higherEntry(token);
    return next != null && next.getValue() < before ? next.getKey() : 0;
  }

  /** Lowers the limits, without notice. */
  public synchronized void lowerLimits(double valueKb, int txnOps, double writeRps) {
    maxValueBytes = (int) (valueKb * 1024);
    maxWrites = txnOps;
    writes = new Bucket(writeRps);
    recorder.log("state: limits lowered: value_kb=%s txn_ops=%s write_rps=%s", valueKb, txnOps, writeRps);
  }

  /** Stores what the controllers stored before the case began. */
  public synchronized void put(String key, JsonNode data) {
    ledger++;
    change(key, data, 0);
    notifyAll();
  }

  public synchronized JsonNode value(String key) {
    Entry entry = keys.get(key);
    return entry == null ? null : entry.data;
  }

  public synchronized List<String> keysUnder(String prefix) {
    return new ArrayList<>(keys.subMap(prefix, prefix + "\uffff").keySet());
  }

  private void expireLeases() {
    while (true) {
      synchronized (this) {
        if (!outage) {
          double now = recorder.now();
          List<Long> ended = new ArrayList<>();
          leases.forEach(
              (id, lease) -> {
                if (now > lease.endsAt) {
                  ended.add(id);
                }
              });
          ended.forEach(this::end);
        }
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void end(long id) {
    if (leases.remove(id) == null) {
      return;
    }
    List<String> attached = new ArrayList<>();
    keys.forEach(
        (key, entry) -> {
          if (entry.permit == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      ledger++;
      attached.forEach(key -> change(key, null, 0));
      recorder.log("state: lease %d ended, keys removed: %s", id, attached);
      notifyAll();
    }
  }

  private void change(String key, JsonNode data, long permit) {
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Entry(data, ledger, permit));
    }
    events.add(new Event(key, data, ledger));
    if (events.size() > 10_000) {
      events.remove(0);
    }
  }

  private static ObjectNode object() {
    return Http.JSON.createObjectNode();
  }

  private static Http.Answer error(int status, String text) {
    return new Http.Answer(status, object().put("error", text));
  }

  private boolean unavailable(Gate gate) {
    return outage || gate.mode() == Gate.Mode.REFUSE;
  }

  private Http.Answer handle(
      Gate gate, String method, String path, Map<String, String> query, JsonNode body)
      throws Exception {
    gate.pass();
    Thread.sleep(2);
    if (path.equals("/changes")) {
      Http.Answer answer = changes(gate, query);
      gate.pass();
      return answer;
    }
    Http.Answer answer;
    synchronized (this) {
      if (unavailable(gate)) {
        answer = error(503, "unavailable");
      } else if (!requests.take(1, recorder.now())) {
        answer = error(429, "too many requests");
      } else {
        answer = execute(gate, method, path, query, body);
      }
    }
    gate.pass();
    return answer;
  }

  private Http.Answer execute(
      Gate gate, String method, String path, Map<String, String> query, JsonNode body) {
    if (path.equals("/commit")) {
      return commit(gate, body);
    } else if (path.equals("/kv")) {
      return list(query);
    } else if (path.startsWith("/kv/")) {
      Entry entry = keys.get(path.substring(4));
      if (entry == null) {
        return new Http.Answer(404, object().put("Ledger", ledger));
      }
      ObjectNode answer = object().put("K", path.substring(4)).put("Stamp", entry.stamp);
      answer.set("Data", entry.data);
      if (entry.permit != 0) {
        answer.put("Permit", entry.permit);
      }
      return new Http.Answer(200, answer);
    } else if (path.equals("/holds")) {
      Lease lease = new Lease();
      lease.lifeMs = body.get("LifeMs").asLong();
      lease.endsAt = recorder.now() + lease.lifeMs / 1000.0;
      leases.put(++lastLease, lease);
      return new Http.Answer(200, object().put("Permit", lastLease));
    } else if (path.startsWith("/holds/")) {
      String rest = path.substring(7);
      if (rest.endsWith("/renew")) {
        Lease lease = leases.get(Long.parseLong(rest.substring(0, rest.length() - 6)));
        if (lease == null) {
          return error(404, "no such lease");
        }
        lease.endsAt = recorder.now() + lease.lifeMs / 1000.0;
        return new Http.Answer(200, object());
      }
      end(Long.parseLong(rest));
      return new Http.Answer(200, object());
    }
    return error(400, "malformed");
  }

  private Http.Answer list(Map<String, String> query) {
    String prefix = query.get("Under");
    String after = query.getOrDefault("After", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("Most", "1000")));
    ObjectNode answer = object();
    ArrayNode items = answer.putArray("Items");
    boolean truncated = false;
    for (Map.Entry<String, Entry> entry : keys.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() >= most) {
        truncated = true;
        break;
      }
      ObjectNode item =
          items.addObject().put("K", entry.getKey()).put("Stamp", entry.getValue().stamp);
      item.set("Data", entry.getValue().data);
    }
    return new Http.Answer(200, answer.put("Truncated", truncated).put("Ledger", ledger));
  }

  private Http.Answer commit(Gate gate, JsonNode body) {
    if (body == null) {
      return error(400, "malformed");
    }
    for (JsonNode guard : body.path("Guards")) {
      if (guard.path("Stamp").asLong(-1) < 0) {
        return error(400, "malformed");
      }
    }
    int changes = body.path("Then").size();
    if (changes > maxWrites || body.path("Guards").size() / 4 > maxWrites) {
      recorder.log("state: transaction too large: %d changes", changes);
      return error(400, "transaction too large");
    }
    for (JsonNode change : body.path("Then")) {
      if (change.has("Data") && change.get("Data").toString().length() > maxValueBytes) {
        recorder.log("state: value too large: %s", change.get("Set"));
        return error(400, "value too large");
      }
    }
    if (changes > 0 && !writes.take(changes, recorder.now())) {
      return error(429, "too many changes");
    }
    for (JsonNode change : body.path("Then")) {
      if (change.has("Permit") && !leases.containsKey(change.get("Permit").asLong())) {
        return error(400, "no such lease");
      }
    }
    ObjectNode conflict = object();
    ArrayNode failed = conflict.putArray("failed");
    for (JsonNode guard : body.path("Guards")) {
      Entry entry = keys.get(guard.get("K").asText());
      if ((entry == null ? 0 : entry.stamp) != guard.get("Stamp").asLong()) {
        failed.add(guard.get("K").asText());
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, conflict.put("Ledger", ledger));
    }
    if (changes > 0) {
      ledger++;
      Set<String> changed = new HashSet<>();
      for (JsonNode change : body.path("Then")) {
        if (change.has("Set")) {
          change(change.get("Set").asText(), change.get("Data"), change.path("Permit").asLong(0));
          changed.add(change.get("Set").asText());
        } else {
          change(change.get("Remove").asText(), null, 0);
          changed.add("-" + change.get("Remove").asText());
        }
      }
      if (changed.stream().anyMatch(key -> key.contains("l/leader"))) {
        recorder.log("state: leader key set through %s: %s", gate.name, keys.get("l/leader").data);
        terms.put(keys.get("l/leader").data.path("Term").asLong(), recorder.now());
      }
      if (changed.stream().anyMatch(key -> key.startsWith("f/"))) {
        recorder.log("state: %s through %s", changed, gate.name);
      }
      notifyAll();
    }
    return new Http.Answer(200, object().put("Ledger", ledger));
  }

  private synchronized Http.Answer changes(Gate gate, Map<String, String> query)
      throws InterruptedException {
    if (unavailable(gate)) {
      return error(503, "unavailable");
    }
    if (!requests.take(1, recorder.now())) {
      return error(429, "too many requests");
    }
    String prefix = query.get("Under");
    long after = Long.parseLong(query.get("After"));
    double until = recorder.now() + Long.parseLong(query.getOrDefault("HoldMs", "0")) / 1000.0;
    while (true) {
      if (!unavailable(gate)) {
        if (events.size() == 10_000 && events.get(0).stamp > after + 1) {
          return error(410, "too old");
        }
        ObjectNode answer = object().put("Ledger", ledger);
        ArrayNode list = answer.putArray("Events");
        for (int i = firstAfter(after); i < events.size(); i++) {
          Event event = events.get(i);
          if (event.key.startsWith(prefix)) {
            ObjectNode node = list.addObject().put("Stamp", event.stamp);
            if (event.data == null) {
              node.put("Remove", event.key);
            } else {
              node.put("Set", event.key).set("Data", event.data);
            }
          }
        }
        if (!list.isEmpty() || recorder.now() >= until) {
          return new Http.Answer(200, answer);
        }
      }
      wait(100);
    }
  }

  private int firstAfter(long after) {
    int low = 0;
    int high = events.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (events.get(middle).stamp <= after) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
