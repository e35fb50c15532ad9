package org.saffronshore.api;

import java.util.Map;
import org.saffronshore.http.AdmissionQueue;
import org.saffronshore.http.AdmissionQueue.RequestClass;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;

/**
 * Routes each request of users, workers and load balancers to its handler. Requests other than
 * health checks pass the admission queue.
 */
public final class RequestRouter {
  /**
   * The capacity of the queue of each class of user requests, as a fraction of the number of
   * sockets. Requests beyond it are refused with 429.
   */
  private static final double QUEUE_CAPACITY_FRACTION = 1.0 / 8;

  private static final int MIN_QUEUE_CAPACITY = 8;

  private static final String HEARTBEAT_PATH = "/v1/report";
  private static final String HEALTH_PATH = "/healthz";
  private static final String JOBS_PATH = "/work";
  private static final String JOB_PREFIX = JOBS_PATH + "/";
  private static final String CANCEL_SUFFIX = "/cancel";

  private final AdmissionQueue admission;
  private final UserApi userApi;
  private final WorkerApi workerApi;
  private final HealthCheck health;

  /**
   * Creates a router with empty queues.
   *
   * @param maxSockets the number of sockets that this process may use
   */
  public RequestRouter(
      EventLoop loop, int maxSockets, UserApi userApi, WorkerApi workerApi, HealthCheck health) {
    int queueCapacity = Math.max(MIN_QUEUE_CAPACITY, (int) (maxSockets * QUEUE_CAPACITY_FRACTION));
    this.admission =
        new AdmissionQueue(
            loop,
            Map.of(
                RequestClass.HEARTBEAT, maxSockets,
                RequestClass.DECISION, queueCapacity,
                RequestClass.SUBMISSION, queueCapacity));
    this.userApi = userApi;
    this.workerApi = workerApi;
    this.health = health;
  }

  /** Handles a request to the address that users, workers and load balancers share. */
  public void handle(Request request, Responder responder) {
    String path = request.path();
    if (path.equals(HEARTBEAT_PATH)) {
      admit(
          "POST",
          RequestClass.HEARTBEAT,
          request,
          responder,
          () -> workerApi.handleHeartbeat(request, responder));
    } else if (path.equals(HEALTH_PATH)) {
      health.handle(request, responder);
    } else if (path.equals(JOBS_PATH)) {
      admit(
          "POST",
          RequestClass.SUBMISSION,
          request,
          responder,
          () -> userApi.submit(request, responder));
    } else if (path.startsWith(JOB_PREFIX)) {
      handleJob(path.substring(JOB_PREFIX.length()), request, responder);
    } else {
      responder.notFound(request);
    }
  }

  /** Handles a request for one job; {@code rest} is the part of the path after the prefix. */
  private void handleJob(String rest, Request request, Responder responder) {
    if (rest.endsWith(CANCEL_SUFFIX)) {
      String job = rest.substring(0, rest.length() - CANCEL_SUFFIX.length());
      admit(
          "POST", RequestClass.DECISION, request, responder, () -> userApi.cancel(job, responder));
    } else if (rest.isEmpty() || rest.indexOf('/') >= 0) {
      responder.notFound(request);
    } else {
      admit("GET", RequestClass.DECISION, request, responder, () -> userApi.poll(rest, responder));
    }
  }

  private void admit(
      String method,
      RequestClass requestClass,
      Request request,
      Responder responder,
      Runnable handler) {
    if (!request.hasMethod(method)) {
      responder.methodNotAllowed(request, method);
      return;
    }
    Runnable handleIfConnected =
        () -> {
          if (responder.isConnected()) {
            handler.run();
          }
        };
    if (!admission.offer(requestClass, handleIfConnected)) {
      userApi.respondBusy(responder);
    }
  }
}
