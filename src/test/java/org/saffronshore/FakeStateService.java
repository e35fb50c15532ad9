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

/** An in-memory state service on a manual clock that can simulate the failures in the protocol. */
public final class FakeStateService implements Client {

  private record Value(JsonNode data, long version, long leaseId) {}

  /** A change of a key. The data is null if the key was deleted. */
  private record Change(String key, JsonNode data, long revision) {}

  private static final class Lease {
    private final double durationS;
    private double expiresAt;

    Lease(double durationS, double now) {
      this.durationS = durationS;
      this.expiresAt = now + durationS;
    }
  }

  public final ManualEventLoop loop;
  public long revision = 1;

  /** Selects, by method and path, requests that get status 503 and are not executed. */
  public BiPredicate<String, String> unavailableFor = (method, path) -> false;

  /** Whether every request is lost: no request is executed, and each request times out. */
  public boolean unreachable;

  /** Selects requests that are executed but whose response is lost, so that they time out. */
  public BiPredicate<String, String> responseLost = (method, path) -> false;

  /**
   * Selects requests that time out and are executed only when {@link #executeDelayedRequests} is
   * called.
   */
  public BiPredicate<String, String> executionDelayed = (method, path) -> false;

  /** The method and path of every request, in the order of arrival. */
  public final List<String> requestLog = new ArrayList<>();

  /** The size of the largest transaction received, in bytes. */
  public int longestTransactionBytes;

  /** The largest number of writes received in one transaction. */
  public int mostTransactionWrites;

  /** The length of the longest value received, in characters of its JSON form. */
  public int longestValueBytes;

  /** Whether the response to a conflict names only the first key whose condition failed. */
  public boolean reportsOnlyFirstConflict;

  /**
   * The number of transactions rejected because they exceeded a limit or had an empty list of
   * writes.
   */
  public int invalidTransactions;

  /** The largest accepted number of writes in a transaction; larger transactions get status 400. */
  public int txnOpsLimit = Integer.MAX_VALUE;

  /** The largest accepted length of a value; a transaction with a longer value gets status 400. */
  public int valueBytesLimit = Integer.MAX_VALUE;

  /** The largest accepted number of writes per second; transactions beyond it get status 429. */
  public double writeRpsLimit = Double.POSITIVE_INFINITY;

  /** The level of the leaky bucket that limits writes, as of {@link #lastWriteAt}. */
  private double recentWrites;

  private double lastWriteAt;
  private final List<Runnable> delayedRequests = new ArrayList<>();
  private final TreeMap<String, Value> values = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long lastLeaseId;

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
    requestLog.add(method + " " + path);
    if (unreachable) {
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (unavailableFor.test(method, path)) {
      loop.schedule(
          0.001, () -> receiver.onResponse(response(503, Json.object().put("error", "trouble"))));
    } else if (executionDelayed.test(method, path)) {
      delayedRequests.add(() -> execute(method, path, body));
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (responseLost.test(method, path)) {
      execute(method, path, body);
      loop.schedule(timeoutS, () -> receiver.onResponse(Response.LOST));
    } else if (path.startsWith("/changes")) {
      watch(path, loop.now() + longParameter(path, "HoldMs") / 1000.0, receiver);
    } else {
      loop.schedule(0.001, () -> receiver.onResponse(execute(method, path, body)));
    }
  }

  /**
   * Extends every lease, after an outage, by the outage and one full lease duration.
   *
   * @param outageS the duration of the outage, in seconds
   */
  public void extendLeasesAfterOutage(double outageS) {
    leases.values().forEach(lease -> lease.expiresAt += outageS + lease.durationS);
  }

  /** Executes the requests that {@link #executionDelayed} selected; their responses are dropped. */
  public void executeDelayedRequests() {
    delayedRequests.forEach(Runnable::run);
    delayedRequests.clear();
  }

  /** Returns the value of a key, or null if there is none. */
  public JsonNode value(String key) {
    expireLeases();
    return values.containsKey(key) ? values.get(key).data : null;
  }

  /** Returns the revision at which a key was last written, or 0 if it does not exist. */
  public long version(String key) {
    return values.containsKey(key) ? values.get(key).version : 0;
  }

  public void put(String key, JsonNode data) {
    recordChange(key, data, ++revision, 0);
  }

  public void remove(String key) {
    recordChange(key, null, ++revision, 0);
  }

  private void recordChange(String key, JsonNode data, long atRevision, long leaseId) {
    if (data == null) {
      values.remove(key);
    } else {
      values.put(key, new Value(data, atRevision, leaseId));
    }
    changes.add(new Change(key, data, atRevision));
  }

  private static Response response(int status, JsonNode body) {
    return new Response(status, Json.bytes(body));
  }

  private static long longParameter(String path, String name) {
    return Long.parseLong(parameter(path, name));
  }

  private static String parameter(String path, String name) {
    for (String pair : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return "";
  }

  private void expireLeases() {
    if (unavailableFor.test("GET", "/kv/")) {
      return;
    }
    leases
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = entry.getValue().expiresAt <= loop.now();
              if (expired) {
                deleteKeysOf(entry.getKey());
              }
              return expired;
            });
  }

  private void deleteKeysOf(long leaseId) {
    for (String key : List.copyOf(values.keySet())) {
      if (values.get(key).leaseId == leaseId) {
        recordChange(key, null, ++revision, 0);
      }
    }
  }

  private Response execute(String method, String path, byte[] body) {
    expireLeases();
    JsonNode request = body == null ? Json.object() : Json.parse(body);
    if (path.startsWith("/kv/")) {
      return get(path.substring("/kv/".length()));
    } else if (path.startsWith("/kv?")) {
      return list(parameter(path, "Under"), parameter(path, "After"), longParameter(path, "Most"));
    } else if (path.equals("/commit")) {
      recordSizes(request, body.length);
      return commit(request);
    } else if (path.equals("/holds")) {
      double durationS = request.get("LifeMs").asLong() / 1000.0;
      leases.put(++lastLeaseId, new Lease(durationS, loop.now()));
      return response(200, Json.object().put("Permit", lastLeaseId));
    }
    return renewOrRevokeLease(method, Long.parseLong(path.split("/", -1)[2]));
  }

  private void recordSizes(JsonNode transaction, int bytes) {
    longestTransactionBytes = Math.max(longestTransactionBytes, bytes);
    mostTransactionWrites = Math.max(mostTransactionWrites, transaction.path("Then").size());
    for (JsonNode write : transaction.path("Then")) {
      longestValueBytes = Math.max(longestValueBytes, write.path("Data").toString().length());
    }
  }

  private Response get(String key) {
    Value value = values.get(key);
    if (value == null) {
      return response(404, Json.object().put("Ledger", revision));
    }
    ObjectNode found =
        Json.object().put("K", key).put("Stamp", value.version).put("Permit", value.leaseId);
    found.set("Data", value.data);
    return response(200, found);
  }

  /** Renews a lease, or revokes it together with its keys. */
  private Response renewOrRevokeLease(String method, long leaseId) {
    Lease lease = leases.get(leaseId);
    if (lease == null) {
      return response(404, Json.object());
    }
    if (method.equals("DELETE")) {
      leases.remove(leaseId);
      deleteKeysOf(leaseId);
    } else {
      lease.expiresAt = loop.now() + lease.durationS;
    }
    return response(200, Json.object());
  }

  private Response list(String prefix, String after, long limit) {
    ObjectNode listing = Json.object().put("Ledger", revision);
    ArrayNode items = listing.putArray("Items");
    for (var entry : values.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (items.size() == limit) {
        listing.put("Truncated", true);
        break;
      }
      items
          .addObject()
          .put("K", entry.getKey())
          .put("Stamp", entry.getValue().version)
          .set("Data", entry.getValue().data);
    }
    return response(200, listing);
  }

  private Response commit(JsonNode transaction) {
    if (exceedsLimits(transaction)) {
      invalidTransactions++;
      return response(400, Json.object().put("error", "malformed"));
    }
    recentWrites = Math.max(0, recentWrites - (loop.now() - lastWriteAt) * writeRpsLimit);
    lastWriteAt = loop.now();
    if (recentWrites + transaction.path("Then").size() > writeRpsLimit) {
      return response(429, Json.object());
    }
    recentWrites += transaction.path("Then").size();
    for (JsonNode write : transaction.path("Then")) {
      if (write.has("Permit") && !leases.containsKey(write.get("Permit").asLong())) {
        return response(400, Json.object().put("error", "no such lease"));
      }
    }
    ObjectNode conflict = Json.object().put("Ledger", revision);
    ArrayNode failed = conflict.putArray("failed");
    for (JsonNode condition : transaction.path("Guards")) {
      boolean named = !reportsOnlyFirstConflict || failed.isEmpty();
      if (named && version(condition.get("K").asText()) != condition.get("Stamp").asLong()) {
        failed.add(condition.get("K").asText());
      }
    }
    if (!failed.isEmpty()) {
      return response(409, conflict);
    }
    revision++;
    transaction.path("Then").forEach(this::applyWrite);
    return response(200, Json.object().put("Ledger", revision));
  }

  private boolean exceedsLimits(JsonNode transaction) {
    boolean tooLong = false;
    for (JsonNode write : transaction.path("Then")) {
      tooLong |= write.path("Data").toString().length() > valueBytesLimit;
    }
    boolean tooManyConditions =
        txnOpsLimit < Integer.MAX_VALUE && transaction.path("Guards").size() > 4 * txnOpsLimit;
    boolean tooManyWrites = transaction.path("Then").size() > txnOpsLimit;
    return tooLong
        || tooManyConditions
        || tooManyWrites
        || (transaction.has("Then") && transaction.get("Then").isEmpty());
  }

  private void applyWrite(JsonNode write) {
    boolean put = write.has("Set");
    recordChange(
        write.get(put ? "Set" : "Remove").asText(),
        put ? write.get("Data") : null,
        revision,
        write.path("Permit").asLong(0));
  }

  private void watch(String path, double until, Response.Callback receiver) {
    expireLeases();
    ObjectNode response = Json.object().put("Ledger", revision);
    ArrayNode events = response.putArray("Events");
    for (Change change : changes) {
      if (change.revision > longParameter(path, "After")
          && change.key.startsWith(parameter(path, "Under"))) {
        ObjectNode event =
            events
                .addObject()
                .put(change.data == null ? "Remove" : "Set", change.key)
                .put("Stamp", change.revision);
        if (change.data != null) {
          event.set("Data", change.data);
        }
      }
    }
    if (!events.isEmpty() || loop.now() >= until) {
      receiver.onResponse(response(200, response));
    } else {
      loop.schedule(0.01, () -> watch(path, until, receiver));
    }
  }
}
