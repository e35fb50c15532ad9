package org.saffronshore.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.wire.Json;

/**
 * A client of the state service. It keeps to one controller's share of the service's rates, and
 * every request has a time limit. Every callback is called once, on the event loop; a failure is
 * part of the result that the callback receives.
 */
public final class StateClient {
  /**
   * The time limit of a request, in seconds. Users wait two seconds for a response; this leaves a
   * controller time to respond to them without a result.
   */
  public static final double TIMEOUT_S = 1.5;

  /** The maximum number of keys in one response to a listing. */
  private static final int PAGE_SIZE = 500;

  private final EventLoop loop;
  private final RequestBudget budget;
  private final StateTransport transport;

  /** Creates a client that uses the service within this controller's share of its rates. */
  public StateClient(EventLoop loop, Client client, Settings settings) {
    this.loop = loop;
    this.budget = new RequestBudget(loop, settings);
    this.transport = new StateTransport(loop, client, settings, budget);
  }

  /** Sets whether this controller leads: the leader has a larger share of the rates. */
  public void setLeading(boolean leading) {
    budget.setLeading(leading);
  }

  /** Returns the number of requests per second that this controller may send. */
  public double requestsPerS() {
    return budget.requestsPerS();
  }

  /** Returns the number of writes that normal requests may make now. */
  public int availableWrites() {
    return budget.availableWrites();
  }

  /**
   * Returns when the service last responded to this controller with a status below 429, which
   * excludes rate limit rejections and server errors, in seconds on the loop's clock; negative
   * infinity when it never did.
   */
  public double lastResponseAt() {
    return transport.lastResponseAt();
  }

  /** Reads one key. */
  public void get(String key, RequestPriority priority, Consumer<GetResult> callback) {
    transport.send(
        "GET",
        "/kv/" + key,
        null,
        TIMEOUT_S,
        priority,
        response -> callback.accept(GetResult.parse(response)));
  }

  /** Commits a transaction. */
  public void commit(
      Transaction transaction, RequestPriority priority, Consumer<CommitResult> callback) {
    int writes = transaction.writeCount();
    if (writes > 0 && !budget.tryAcquireWrites(writes, priority)) {
      loop.execute(() -> callback.accept(CommitResult.parse(StateTransport.OVER_BUDGET)));
      return;
    }
    transport.send(
        "POST",
        "/commit",
        transaction.toBytes(),
        TIMEOUT_S,
        priority,
        response -> callback.accept(CommitResult.parse(response)));
  }

  /**
   * Creates a lease.
   *
   * @param durationS the number of seconds that the lease lasts without a renewal
   * @param callback receives the lease's id; empty when no lease is known to have been created
   */
  public void grantLease(double durationS, Consumer<OptionalLong> callback) {
    transport.send(
        "POST",
        "/holds",
        LeaseGrant.request(durationS),
        TIMEOUT_S,
        RequestPriority.VITAL,
        response -> callback.accept(LeaseGrant.parse(response)));
  }

  /** Renews a lease for its full duration. */
  public void renewLease(long leaseId, double timeoutS, Consumer<LeaseRenewal> callback) {
    transport.send(
        "POST",
        "/holds/" + leaseId + "/renew",
        Json.bytes(Json.object()),
        timeoutS,
        RequestPriority.VITAL,
        response -> callback.accept(LeaseRenewal.parse(response)));
  }

  /**
   * Ends a lease at once. The callback runs when the request has ended, whether or not it
   * succeeded.
   */
  public void revokeLease(long leaseId, Runnable callback) {
    transport.send(
        "DELETE",
        "/holds/" + leaseId,
        null,
        TIMEOUT_S,
        RequestPriority.VITAL,
        response -> callback.run());
  }

  /**
   * Reads every key under a prefix.
   *
   * @param callback receives the entries; empty when any page could not be read
   */
  public void list(String prefix, RequestPriority priority, Consumer<Optional<Listing>> callback) {
    listRemainingPages(prefix, priority, Optional.empty(), callback);
  }

  /**
   * Reads all keys under several prefixes, one after the other, with vital requests.
   *
   * @param callback receives the listings by prefix; empty when any of them could not be read
   */
  public void listAll(List<String> prefixes, Consumer<Optional<Map<String, Listing>>> callback) {
    listAll(prefixes, new HashMap<>(), callback);
  }

  private void listAll(
      List<String> prefixes,
      Map<String, Listing> listings,
      Consumer<Optional<Map<String, Listing>>> callback) {
    if (listings.size() == prefixes.size()) {
      callback.accept(Optional.of(listings));
      return;
    }
    String prefix = prefixes.get(listings.size());
    list(
        prefix,
        RequestPriority.VITAL,
        listing -> {
          if (listing.isEmpty()) {
            callback.accept(Optional.empty());
          } else {
            listings.put(prefix, listing.get());
            listAll(prefixes, listings, callback);
          }
        });
  }

  /**
   * Reads the pages that follow those read so far. Pages may be of different revisions: a watch
   * from the revision of the first page receives all changes that later pages may lack.
   */
  private void listRemainingPages(
      String prefix,
      RequestPriority priority,
      Optional<Listing> readSoFar,
      Consumer<Optional<Listing>> callback) {
    String after =
        readSoFar
            .map(listing -> listing.entries().get(listing.entries().size() - 1).key())
            .orElse("");
    listPage(
        prefix,
        after,
        priority,
        page -> {
          if (page.isEmpty()) {
            callback.accept(Optional.empty());
            return;
          }
          Listing listing =
              readSoFar.orElseGet(() -> new Listing(new ArrayList<>(), page.get().revision()));
          listing.entries().addAll(page.get().entries());
          if (page.get().last()) {
            callback.accept(Optional.of(listing));
          } else {
            listRemainingPages(prefix, priority, Optional.of(listing), callback);
          }
        });
  }

  /**
   * Reads the entries under a prefix that come after a key, up to the limit of one response.
   *
   * @param after the key; empty to read from the first entry
   * @param callback receives the page; empty when it could not be read
   */
  void listPage(
      String prefix,
      String after,
      RequestPriority priority,
      Consumer<Optional<ListingPage>> callback) {
    String path =
        "/kv?Under=" + prefix + (after.isEmpty() ? "" : "&After=" + after) + "&Most=" + PAGE_SIZE;
    transport.send(
        "GET",
        path,
        null,
        TIMEOUT_S,
        priority,
        response -> callback.accept(ListingPage.parse(response)));
  }

  /**
   * Waits for changes of keys under a prefix.
   *
   * @param afterRevision only later changes are received
   * @param waitS the number of seconds that the service waits for a change before it responds
   *     without one
   */
  public void watch(
      String prefix, long afterRevision, double waitS, Consumer<WatchResult> callback) {
    String path =
        "/changes?Under="
            + prefix
            + "&After="
            + afterRevision
            + "&HoldMs="
            + Math.round(waitS * 1000);
    transport.send(
        "GET",
        path,
        null,
        waitS + TIMEOUT_S,
        RequestPriority.VITAL,
        response -> callback.accept(WatchResult.parse(response, afterRevision)));
  }
}
