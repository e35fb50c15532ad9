package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * The state service as one node uses it: within the node's budget, and with a time limit on every
 * request.
 */
public final class StateClient {
  /** What is answered here, without asking, when the node's budget is spent. */
  private static final Response OVER_BUDGET = new Response(429, new byte[0]);

  /**
   * What users' requests are answered here while the service says nothing at all: they need not
   * wait for that.
   */
  private static final Response SILENT = new Response(503, new byte[0]);

  /**
   * Users wait two seconds for the answer to a question; this leaves a node time to say that it has
   * none.
   */
  public static final double TIMEOUT_S = 1.5;

  private static final int PAGE = 500;
  private static final int SILENT_AFTER = 3;

  /** After a refusal for the rate the later limits are kept to for so many leases. */
  private static final double NEXT_LIMITS_LEASES = 4;

  /**
   * The leader's part of all requests and of all writes; the rest is shared out evenly, to it as
   * well.
   */
  private static final double LEADER_REQUESTS = 0.15;

  private static final double LEADER_WRITES = 0.3;

  /** A key with its value and its version. */
  public record Entry(String key, JsonNode value, long version) {}

  /** What became of a renewal; UNKNOWN when the state service did not tell. */
  public enum LeaseRenewal {
    RENEWED,
    EXPIRED,
    UNKNOWN;

    private static LeaseRenewal of(Response answer) {
      return answer.ok() ? RENEWED : answer.status() == 404 ? EXPIRED : UNKNOWN;
    }
  }

  /** All keys under a prefix, and the revision from which a watch on them continues. */
  public record Listing(List<Entry> entries, long revision) {}

  /**
   * Some of the keys under a prefix, in their order, at one moment; {@code last} when none come
   * after them.
   */
  public record Page(List<Entry> entries, long revision, boolean last) {}

  private final EventLoop loop;
  private final Client client;
  private final Settings settings;
  private final RateLimiter requests;
  private final RateLimiter writes;

  /** When the service last answered a request of this node with anything but a refusal. */
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  private boolean leading;

  /** Until then the later limits are taken to hold. */
  private double nextLimitsUntil = Double.NEGATIVE_INFINITY;

  /** Requests in a row that got no answer at all, and when the last of them was made. */
  private int lost;

  private double triedAt;

  /** Uses the service within this node's share of its rates. */
  public StateClient(EventLoop loop, Client client, Settings settings) {
    this.loop = loop;
    this.client = client;
    this.settings = settings;
    this.requests = new RateLimiter(loop, share(settings.stateRequestsPerS(), LEADER_REQUESTS), 1);
    this.writes = new RateLimiter(loop, share(settings.stateWritesPerS(), LEADER_WRITES), 1.5);
  }

  private double share(double all, double leaders) {
    return all * ((1 - leaders) / settings.controllerCount() + (leading ? leaders : 0));
  }

  /** The leader writes for the whole cluster, so a part of what the service takes is its own. */
  public void setLeading(boolean now) {
    leading = now;
    updateRates();
  }

  /**
   * Each node finds by itself that the service takes less than it did; what it takes is shared as
   * before.
   */
  private void updateRates() {
    boolean lower = loop.now() < nextLimitsUntil;
    requests.setRate(
        share(
            lower
                ? Math.min(settings.stateRequestsPerS(), settings.nextStateRequestsPerS())
                : settings.stateRequestsPerS(),
            LEADER_REQUESTS));
    writes.setRate(
        share(
            lower
                ? Math.min(settings.stateWritesPerS(), settings.nextStateWritesPerS())
                : settings.stateWritesPerS(),
            LEADER_WRITES));
  }

  /** The service itself refused for its rate: its later limits may have come. */
  private void onRateLimited() {
    if (settings.nextStateRequestsPerS() < settings.stateRequestsPerS()
        || settings.nextStateWritesPerS() < settings.stateWritesPerS()) {
      nextLimitsUntil = loop.now() + NEXT_LIMITS_LEASES * settings.workerLeaseS();
      updateRates();
      loop.schedule(NEXT_LIMITS_LEASES * settings.workerLeaseS(), this::updateRates);
    }
  }

  /** How many requests in a second this node may make. */
  public double requestShare() {
    return requests.ratePerSecond();
  }

  /** How many changes users' requests may make now. */
  public int availableWrites() {
    return (int) writes.available();
  }

  public double lastResponseAt() {
    return lastResponseAt;
  }

  private void send(
      String method,
      String path,
      byte[] body,
      double timeoutS,
      boolean vital,
      Response.Callback then) {
    if (!requests.tryAcquire(1, vital)) {
      loop.execute(() -> then.onResponse(OVER_BUDGET));
      return;
    }
    if (lost >= SILENT_AFTER && !vital && loop.now() < triedAt + timeoutS) {
      loop.execute(() -> then.onResponse(SILENT));
      return;
    }
    triedAt = loop.now();
    client.send(
        settings.stateServiceAddress(),
        method,
        path,
        body,
        timeoutS,
        answer -> {
          lost = answer.status() > 0 ? 0 : lost + 1;
          if (answer.status() > 0 && answer.status() < 429) {
            lastResponseAt = loop.now();
          } else if (answer.status() == 429) {
            onRateLimited();
          }
          then.onResponse(answer);
        });
  }

  /** Reads one key. */
  public void get(String key, boolean vital, Consumer<GetResult> then) {
    send("GET", "/kv/" + key, null, TIMEOUT_S, vital, answer -> then.accept(GetResult.of(answer)));
  }

  /** Sends a transaction. */
  public void commit(Transaction txn, boolean vital, Consumer<CommitResult> then) {
    if (txn.writeCount() > 0 && !writes.tryAcquire(txn.writeCount(), vital)) {
      loop.execute(() -> then.accept(CommitResult.of(OVER_BUDGET)));
      return;
    }
    send(
        "POST",
        "/commit",
        txn.toBytes(),
        TIMEOUT_S,
        vital,
        answer -> then.accept(CommitResult.of(answer)));
  }

  /** Creates a lease, and tells its id; empty when that failed. */
  public void grantLease(double lifeS, Consumer<OptionalLong> then) {
    byte[] body = Json.bytes(Json.object().put("LifeMs", Math.round(lifeS * 1000)));
    send(
        "POST",
        "/holds",
        body,
        TIMEOUT_S,
        true,
        answer -> {
          JsonNode lease = answer.ok() ? answer.json() : null;
          then.accept(
              lease == null
                  ? OptionalLong.empty()
                  : OptionalLong.of(Json.integer(lease, "Permit", 0)));
        });
  }

  /** Renews a lease. */
  public void renewLease(long lease, double timeoutS, Consumer<LeaseRenewal> then) {
    send(
        "POST",
        "/holds/" + lease + "/renew",
        Json.bytes(Json.object()),
        timeoutS,
        true,
        answer -> then.accept(LeaseRenewal.of(answer)));
  }

  /** Ends a lease at once, and tells when that was answered. */
  public void revokeLease(long lease, Runnable then) {
    send("DELETE", "/holds/" + lease, null, TIMEOUT_S, true, answer -> then.run());
  }

  /** Reads every key under a prefix; null when a page could not be had. */
  public void list(String prefix, boolean vital, Consumer<Listing> then) {
    list(prefix, vital, "", new ArrayList<>(), -1, then);
  }

  /** Reads all keys under several prefixes, one after the other; null when any could not be had. */
  public void listAll(List<String> prefixes, Consumer<Map<String, Listing>> then) {
    listAll(prefixes, new HashMap<>(), then);
  }

  private void listAll(
      List<String> prefixes, Map<String, Listing> read, Consumer<Map<String, Listing>> then) {
    if (read.size() == prefixes.size()) {
      then.accept(read);
      return;
    }
    String prefix = prefixes.get(read.size());
    list(
        prefix,
        true,
        listing -> {
          if (listing == null) {
            then.accept(null);
          } else {
            read.put(prefix, listing);
            listAll(prefixes, read, then);
          }
        });
  }

  private void list(
      String prefix,
      boolean vital,
      String after,
      List<Entry> entries,
      long first,
      Consumer<Listing> then) {
    page(
        prefix,
        vital,
        after,
        page -> {
          if (page == null) {
            then.accept(null);
            return;
          }
          entries.addAll(page.entries);
          // Pages may be of different moments: a watch from the first one's revision catches up
          // with the rest.
          long revision = first >= 0 ? first : page.revision;
          if (page.last) {
            then.accept(new Listing(entries, revision));
          } else {
            list(
                prefix,
                vital,
                page.entries.get(page.entries.size() - 1).key(),
                entries,
                revision,
                then);
          }
        });
  }

  /**
   * Reads the keys under a prefix that come after a key, as far as one answer holds them; null when
   * it could not be had.
   */
  public void listPage(String prefix, String after, Consumer<Page> then) {
    page(prefix, false, after, then);
  }

  private void page(String prefix, boolean vital, String after, Consumer<Page> then) {
    String path =
        "/kv?Under=" + prefix + (after.isEmpty() ? "" : "&After=" + after) + "&Most=" + PAGE;
    send(
        "GET",
        path,
        null,
        TIMEOUT_S,
        vital,
        answer -> {
          JsonNode body = answer.ok() ? answer.json() : null;
          if (body == null || !body.path("Items").isArray()) {
            then.accept(null);
            return;
          }
          List<Entry> entries = new ArrayList<>();
          for (JsonNode item : body.get("Items")) {
            entries.add(
                new Entry(Json.text(item, "K"), item.get("Data"), Json.integer(item, "Stamp", 0)));
          }
          boolean last = !Json.bool(body, "Truncated") || entries.isEmpty();
          then.accept(new Page(entries, Json.integer(body, "Ledger", 0), last));
        });
  }

  /** Waits for changes under a prefix after a revision. */
  public void watch(String prefix, long after, double holdS, Consumer<WatchResult> then) {
    String path =
        "/changes?Under=" + prefix + "&After=" + after + "&HoldMs=" + Math.round(holdS * 1000);
    send(
        "GET",
        path,
        null,
        holdS + TIMEOUT_S,
        true,
        answer -> then.accept(WatchResult.of(answer, after)));
  }
}
