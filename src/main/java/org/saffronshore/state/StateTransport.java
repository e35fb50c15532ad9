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
  /** The response to a request that is not sent because the budget is spent. */
  static final Response OVER_BUDGET = new Response(429, new byte[0]);

  /**
   * The response to a normal request that is not sent because the service does not respond: users
   * need not wait for a time limit to learn that.
   */
  private static final Response UNRESPONSIVE = new Response(503, new byte[0]);

  /** So many requests in a row without a response mean that the service does not respond. */
  private static final int UNRESPONSIVE_THRESHOLD = 3;

  private static final int TOO_MANY_REQUESTS = 429;

  private final EventLoop loop;
  private final Client client;
  private final Settings settings;
  private final RequestBudget budget;

  /** Requests in a row that got no response. */
  private int consecutiveFailures;

  private double lastSentAt;
  private double lastResponseAt = Double.NEGATIVE_INFINITY;

  StateTransport(EventLoop loop, Client client, Settings settings, RequestBudget budget) {
    this.loop = loop;
    this.client = client;
    this.settings = settings;
    this.budget = budget;
  }

  /** When the service last responded with anything but a refusal, on the loop's clock. */
  double lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * Sends a request.
   *
   * @param body null for a request without one
   * @param timeoutS after how many seconds without a response the request counts as lost
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

  /** One normal request per time limit is sent all the same, to notice that the service is back. */
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
