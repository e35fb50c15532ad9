package org.saffronshore.cloud;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Response;
import org.saffronshore.state.RateLimiter;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.MachineListPage;
import org.saffronshore.wire.MachineTypeList;
import org.saffronshore.wire.RentalRequest;
import org.saffronshore.wire.ReturnRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client for the cloud's API that keeps within this controller's share of the cloud's request
 * rate. A controller that does not lead only requests machine types. Every callback is called
 * exactly once, on the event loop.
 */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);

  /** The maximum number of machines that the cloud takes back with one request. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  /** The maximum number of machines that the cloud rents out with one request. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  private static final int PAGE_SIZE = 500;
  private static final double TIMEOUT_S = 5;
  private static final int TOO_MANY_REQUESTS = 429;

  /**
   * The leader's share of the cloud's request rate. Followers send few requests and share the rest.
   */
  private static final double LEADER_SHARE = 0.8;

  /** The number of requests that may be sent at once after idle time, in seconds of the rate. */
  private static final double BURST_S = 2;

  private final EventLoop loop;
  private final Client client;
  private final Settings settings;
  private final RateLimiter requestBudget;

  /** Creates a client with its own request budget. */
  public CloudClient(EventLoop loop, Client client, Settings settings) {
    this.loop = loop;
    this.client = client;
    this.settings = settings;
    this.requestBudget =
        new RateLimiter(loop, settings.cloudRequestsPerS() * LEADER_SHARE, BURST_S);
  }

  /**
   * Requests the machine types.
   *
   * @param callback receives an empty result if the request failed or the response is invalid
   */
  public void listMachineTypes(Consumer<Optional<MachineTypeList>> callback) {
    send(
        "GET",
        "/machine_types",
        null,
        RequestPriority.NORMAL,
        response -> callback.accept(parseMachineTypes(response)));
  }

  private static Optional<MachineTypeList> parseMachineTypes(Response response) {
    if (!response.isOk()) {
      return Optional.empty();
    }
    try {
      return Optional.of(MachineTypeList.parse(response.body()));
    } catch (InvalidFieldException e) {
      LOG.error("Machine types from the cloud cannot be read: reason=\"{}\"", e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Requests one page of the list of machines.
   *
   * @param after id after which the page starts; empty for the first page
   * @param callback receives an empty result if the request failed or the response holds no list
   */
  public void listMachines(String after, Consumer<Optional<MachineListPage>> callback) {
    String path = "/hosts?" + (after.isEmpty() ? "" : "After=" + after + "&") + "Most=" + PAGE_SIZE;
    send(
        "GET",
        path,
        null,
        RequestPriority.NORMAL,
        response ->
            callback.accept(
                response.isOk() ? MachineListPage.parse(response.body()) : Optional.empty()));
  }

  /**
   * Rents machines. A repetition under the same name rents no further machines, so a name must
   * never be used for a different request.
   */
  public void rentMachines(RentalRequest request, Consumer<RentalResult> callback) {
    send(
        "POST",
        "/hosts",
        request.toBytes(),
        RequestPriority.VITAL,
        response -> callback.accept(RentalResult.of(response)));
  }

  /**
   * Returns machines.
   *
   * @param machines ids of at most {@link #MAX_MACHINES_PER_RETURN} machines
   * @param callback receives whether the request succeeded; if so, the machines no longer exist and
   *     nothing runs on them
   */
  public void returnMachines(List<String> machines, Consumer<Boolean> callback) {
    send(
        "POST",
        "/hosts/return",
        new ReturnRequest(machines).toBytes(),
        RequestPriority.VITAL,
        response -> callback.accept(response.isOk()));
  }

  /**
   * Sends a request. If the request budget is exhausted, the request is not sent and the callback
   * receives status 429.
   *
   * @param priority a vital request may also use the reserve of the request budget
   */
  private void send(
      String method,
      String path,
      byte @Nullable [] body,
      RequestPriority priority,
      Response.Callback callback) {
    if (!requestBudget.tryAcquire(1, priority)) {
      loop.execute(() -> callback.onResponse(new Response(TOO_MANY_REQUESTS, new byte[0])));
      return;
    }
    client.send(settings.cloudAddress(), method, path, body, TIMEOUT_S, callback);
  }
}
