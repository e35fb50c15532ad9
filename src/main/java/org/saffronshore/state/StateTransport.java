package org.saffronshore.state;

import org.jspecify.annotations.Nullable;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Client;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Response;

/**
 * Sends requests to the state service within the request budget, and keeps track of whether the
 * service responds.
 */
final class StateTransport {
  /** The response to a request that is not sent because the request budget is used up. */
  static final Response OVER_BUDGET = new Response(429, new byte[0]);

  /**
   * The response to a normal request that is not sent because the service does not respond, so that
   * users need not wait for the time limit.
   */
  private static final Response UNRESPONSIVE = new Response(503, new byte[0]);

  /**
   * The number of consecutive requests without a response after which the service counts as
   * unresponsive.
   */
  private static final int UNRESPONSIVE_THRESHOLD = 3;

  private static final int TOO_MANY_REQUESTS = 429;

  private final EventLoop loop;
  private final Client client;
  private final Settings settings;
  private final RequestBudget budget;

  /** The number of requests without a response since the last response. */
  private int consecutiveFailures;

  private double lastSentAt;
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  StateTransport(EventLoop loop, Client client, Settings settings, RequestBudget budget) {
    this.loop = loop;
    this.client = client;
    this.settings = settings;
    this.budget = budget;
  }

  /** Returns when the service last responded with a status below 429, on the loop's clock. */
  double lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * Sends a request.
   *
   * @param body null for a request without one
   * @param timeoutS the number of seconds without a response after which the request fails
   */
  void send(
      String method,
      String path,
      byte @Nullable [] body,
      double timeoutS,
      RequestPriority priority,
      Response.Callback callback) {
    if (!budget.tryAcquireRequest(priority)) {
      loop.execute(() -> callback.onResponse(OVER_BUDGET));
      return;
    }
    if (priority == RequestPriority.NORMAL && isUnresponsive(timeoutS)) {
      loop.execute(() -> callback.onResponse(UNRESPONSIVE));
      return;
    }
    lastSentAt = loop.now();
    client.send(
        settings.stateServiceAddress(),
        method,
        path,
        body,
        timeoutS,
        response -> {
          recordResponse(response.status());
          callback.onResponse(response);
        });
  }

  /**
   * Returns whether normal requests must not be sent because the service does not respond. When no
   * request was sent within the last time limit, the result is false: the next request detects
   * whether the service responds again.
   */
  private boolean isUnresponsive(double timeoutS) {
    return consecutiveFailures >= UNRESPONSIVE_THRESHOLD && loop.now() < lastSentAt + timeoutS;
  }

  private void recordResponse(int status) {
    consecutiveFailures = status > 0 ? 0 : consecutiveFailures + 1;
    if (status > 0 && status < TOO_MANY_REQUESTS) {
      lastResponseAt = loop.now();
    } else if (status == TOO_MANY_REQUESTS) {
      budget.onRateLimited();
    }
  }
}
