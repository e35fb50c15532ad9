package org.saffronshore.api;

import java.util.Map;
import org.saffronshore.http.AdmissionQueue;
import org.saffronshore.http.AdmissionQueue.RequestClass;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;

/** Brings each request of users and workers to its handler, through the admission queue. */
public final class RequestRouter {
  /**
   * Users' requests of one class that may wait, as a share of what the sockets could bring at once;
   * beyond it they are refused with 429.
   */
  private static final double QUEUED_SHARE = 1.0 / 8;

  private static final int MIN_QUEUED = 8;

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
   * @param maxSockets the sockets that this process may use
   */
  public RequestRouter(
      EventLoop loop, int maxSockets, UserApi userApi, WorkerApi workerApi, HealthCheck health) {
    int queued = Math.max(MIN_QUEUED, (int) (maxSockets * QUEUED_SHARE));
    this.admission =
        new AdmissionQueue(
            loop,
            Map.of(
                RequestClass.HEARTBEAT, maxSockets,
                RequestClass.DECISION, queued,
                RequestClass.SUBMISSION, queued));
    this.userApi = userApi;
    this.workerApi = workerApi;
    this.health = health;
  }

  /** Handles a request on the address of users, workers and load balancers. */
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
      respondNotFound(responder);
    }
  }

  /** A request on one job; {@code rest} is what follows the prefix in its path. */
  private void handleJob(String rest, Request request, Responder responder) {
    if (rest.endsWith(CANCEL_SUFFIX)) {
      String job = rest.substring(0, rest.length() - CANCEL_SUFFIX.length());
      admit(
          "POST", RequestClass.DECISION, request, responder, () -> userApi.cancel(job, responder));
    } else if (rest.isEmpty() || rest.indexOf('/') >= 0) {
      respondNotFound(responder);
    } else {
      admit("GET", RequestClass.DECISION, request, responder, () -> userApi.poll(rest, responder));
    }
  }

  private static void respondNotFound(Responder responder) {
    responder.error(404, "no such path");
  }

  private void admit(
      String method,
      RequestClass requestClass,
      Request request,
      Responder responder,
      Runnable handler) {
    if (!request.hasMethod(method)) {
      responder.error(405, method + " only");
      return;
    }
    Runnable unlessDisconnected =
        () -> {
          if (responder.isConnected()) {
            handler.run();
          }
        };
    if (!admission.offer(requestClass, unlessDisconnected)) {
      userApi.respondBusy(responder);
    }
  }
}
