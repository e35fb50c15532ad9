package org.saffronshore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.saffronshore.config.Address;
import org.saffronshore.http.Client;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/** A state service in memory, on a manual clock, with the failures that the protocol lists. */
public final class FakeStateService implements Client {

  private record Value(JsonNode data, long version, long lease) {}

  private record Change(String key, JsonNode data, long revision) {}

  public final ManualEventLoop loop;
  public long revision = 1;

  /** Requests that are refused with 503 without being executed. */
  public BiPredicate<String, String> away = (method, path) -> false;

  /** Nothing reaches it, and nothing is heard of it. */
  public boolean silent;

  /** Requests that are executed although their answer is lost. */
  public BiPredicate<String, String> answerLost = (method, path) -> false;

  /**
   * Requests that are only executed when {@link #deliverLate} is called, long after their sender
   * gave up.
   */
  public BiPredicate<String, String> held = (method, path) -> false;

  public final List<String> log = new ArrayList<>();

  /**
   * The largest of all transactions that came: in bytes, in changes, and the longest value in any.
   */
  public int longestTxn;

  public int maxChanges;
  public int longestValue;

  /** A refusal names only the first guard that failed. */
  public boolean namesOneFailure;

  /** Transactions beyond a limit, or with an empty list of changes. */
  public int malformed;

  /** Limits on a transaction: changes, and bytes of a value; beyond them 400. */
  public int txnOps = Integer.MAX_VALUE;

  public int valueBytes = Integer.MAX_VALUE;

  /** Changes in a second; beyond them 429. */
  public double writeRps = Double.POSITIVE_INFINITY;

  private double written;
  private double writtenAt;
  private final List<Runnable> late = new ArrayList<>();
  private final TreeMap<String, Value> values = new TreeMap<>();
  private final Map<Long, double[]> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long lastPermit;

  public FakeStateService(ManualEventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void send(
      Address to,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Response.Callback receiver) {
    log.add(method + " " + path);
    if (silent) {
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (away.test(method, path)) {
      loop.schedule(
          0.001, () -> receiver.onResponse(answer(503, Json.object().put("error", "trouble"))));
    } else if (held.test(method, path)) {
      late.add(() -> execute(method, path, body));
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (answerLost.test(method, path)) {
      execute(method, path, body);
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (path.startsWith("/changes")) {
      watch(path, loop.now() + number(path, "HoldMs") / 1000.0, receiver);
    } else {
      loop.schedule(0.001, () -> receiver.onResponse(execute(method, path, body)));
    }
  }

  /** After an outage every lease has its full time once more. */
  public void outlive(double outageS) {
    leases.values().forEach(life -> life[1] += outageS + life[0]);
  }

  public void deliverLate() {
    late.forEach(Runnable::run);
    late.clear();
  }

  public JsonNode value(String key) {
    expire();
    return values.containsKey(key) ? values.get(key).data : null;
  }

  public long version(String key) {
    return values.containsKey(key) ? values.get(key).version : 0;
  }

  public void put(String key, JsonNode data) {
    change(key, data, ++revision, 0);
  }

  public void remove(String key) {
    change(key, null, ++revision, 0);
  }

  private void change(String key, JsonNode data, long at, long lease) {
    if (data == null) {
      values.remove(key);
    } else {
      values.put(key, new Value(data, at, lease));
    }
    changes.add(new Change(key, data, at));
  }

  private static Response answer(int status, JsonNode body) {
    return new Response(status, Json.bytes(body));
  }

  private static long number(String path, String name) {
    return Long.parseLong(text(path, name));
  }

  private static String text(String path, String name) {
    for (String pair : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return "";
  }

  private void expire() {
    if (away.test("GET", "/kv/")) {
      return;
    }
    leases
        .entrySet()
        .removeIf(
            e -> {
              if (e.getValue()[1] > loop.now()) {
                return false;
              }
              end(e.getKey());
              return true;
            });
  }

  private void end(long lease) {
    for (String key : List.copyOf(values.keySet())) {
      if (values.get(key).lease == lease) {
        change(key, null, ++revision, 0);
      }
    }
  }

  private Response execute(String method, String path, byte[] body) {
    expire();
    JsonNode in = body == null ? Json.object() : Json.parse(body);
    if (path.equals("/commit")) {
      longestTxn = Math.max(longestTxn, body.length);
      maxChanges = Math.max(maxChanges, in.path("Then").size());
      in.path("Then")
          .forEach(c -> longestValue = Math.max(longestValue, c.path("Data").toString().length()));
    }
    if (path.startsWith("/kv/")) {
      Value v = values.get(path.substring(4));
      if (v == null) {
        return answer(404, Json.object().put("Ledger", revision));
      }
      ObjectNode o =
          Json.object().put("K", path.substring(4)).put("Stamp", v.version).put("Permit", v.lease);
      o.set("Data", v.data);
      return answer(200, o);
    } else if (path.startsWith("/kv?")) {
      return list(text(path, "Under"), text(path, "After"), number(path, "Most"));
    } else if (path.equals("/commit")) {
      return commit(in);
    } else if (path.equals("/holds")) {
      leases.put(
          ++lastPermit,
          new double[] {
            in.get("LifeMs").asLong() / 1000.0, loop.now() + in.get("LifeMs").asLong() / 1000.0
          });
      return answer(200, Json.object().put("Permit", lastPermit));
    }
    long lease = Long.parseLong(path.split("/", -1)[2]);
    double[] life = leases.get(lease);
    if (life == null) {
      return answer(404, Json.object());
    }
    if (method.equals("DELETE")) {
      leases.remove(lease);
      end(lease);
    } else {
      life[1] = loop.now() + life[0];
    }
    return answer(200, Json.object());
  }

  private Response list(String under, String after, long most) {
    ObjectNode o = Json.object().put("Ledger", revision);
    ArrayNode items = o.putArray("Items");
    for (var e : values.tailMap(after.isEmpty() ? under : after, after.isEmpty()).entrySet()) {
      if (!e.getKey().startsWith(under)) {
        break;
      }
      if (items.size() == most) {
        o.put("Truncated", true);
        break;
      }
      items
          .addObject()
          .put("K", e.getKey())
          .put("Stamp", e.getValue().version)
          .set("Data", e.getValue().data);
    }
    return answer(200, o);
  }

  private Response commit(JsonNode in) {
    if (beyondLimits(in)) {
      malformed++;
      return answer(400, Json.object().put("error", "malformed"));
    }
    written = Math.max(0, written - (loop.now() - writtenAt) * writeRps);
    writtenAt = loop.now();
    if (written + in.path("Then").size() > writeRps) {
      return answer(429, Json.object());
    }
    written += in.path("Then").size();
    for (JsonNode c : in.path("Then")) {
      if (c.has("Permit") && !leases.containsKey(c.get("Permit").asLong())) {
        return answer(400, Json.object().put("error", "no such lease"));
      }
    }
    ObjectNode refusal = Json.object().put("Ledger", revision);
    ArrayNode failed = refusal.putArray("failed");
    for (JsonNode g : in.path("Guards")) {
      boolean named = !namesOneFailure || failed.isEmpty();
      if (named && version(g.get("K").asText()) != g.get("Stamp").asLong()) {
        failed.add(g.get("K").asText());
      }
    }
    if (!failed.isEmpty()) {
      return answer(409, refusal);
    }
    revision++;
    in.path("Then").forEach(this::carryOut);
    return answer(200, Json.object().put("Ledger", revision));
  }

  private boolean beyondLimits(JsonNode in) {
    boolean tooLong = false;
    for (JsonNode c : in.path("Then")) {
      tooLong |= c.path("Data").toString().length() > valueBytes;
    }
    boolean tooManyGuards = txnOps < Integer.MAX_VALUE && in.path("Guards").size() > 4 * txnOps;
    boolean tooManyChanges = in.path("Then").size() > txnOps;
    return tooLong
        || tooManyGuards
        || tooManyChanges
        || (in.has("Then") && in.get("Then").isEmpty());
  }

  private void carryOut(JsonNode c) {
    boolean set = c.has("Set");
    change(
        c.get(set ? "Set" : "Remove").asText(),
        set ? c.get("Data") : null,
        revision,
        c.path("Permit").asLong(0));
  }

  private void watch(String path, double until, Response.Callback receiver) {
    expire();
    ObjectNode o = Json.object().put("Ledger", revision);
    ArrayNode events = o.putArray("Events");
    for (Change c : changes) {
      if (c.revision > number(path, "After") && c.key.startsWith(text(path, "Under"))) {
        ObjectNode event =
            events
                .addObject()
                .put(c.data == null ? "Remove" : "Set", c.key)
                .put("Stamp", c.revision);
        if (c.data != null) {
          event.set("Data", c.data);
        }
      }
    }
    if (!events.isEmpty() || loop.now() >= until) {
      receiver.onResponse(answer(200, o));
    } else {
      loop.schedule(0.01, () -> watch(path, until, receiver));
    }
  }
}
