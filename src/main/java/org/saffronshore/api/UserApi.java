package org.saffronshore.api;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.saffronshore.admin.Metrics;
import org.saffronshore.config.Settings;
import org.saffronshore.config.TeamQuota;
import org.saffronshore.http.EventLoop;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.peer.JobProgress;
import org.saffronshore.state.JobStatus;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.SubmissionResult;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.JobStatusResponse;
import org.saffronshore.wire.MachineType;
import org.saffronshore.wire.SubmissionRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submissions, polls and cancellations of users. Every controller responds by itself, from the
 * state service.
 */
public final class UserApi {
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNPROCESSABLE = 422;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** The soonest that the protocol lets a refused user come back. */
  private static final int RETRY_AFTER_S = 1;

  /** What a stored job takes beside what its user sent. */
  private static final int RECORD_OVERHEAD_BYTES = 128;

  private final EventLoop loop;
  private final Settings settings;
  private final JobStore store;
  private final Metrics metrics;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final Function<String, JobProgress> progress;

  /**
   * @param machineTypes the cloud's machine types by name; empty while they are not known
   * @param progress the progress of an open job, as far as it is known
   */
  public UserApi(
      EventLoop loop,
      Settings settings,
      JobStore store,
      Metrics metrics,
      Supplier<Map<String, MachineType>> machineTypes,
      Function<String, JobProgress> progress) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.metrics = metrics;
    this.machineTypes = machineTypes;
    this.progress = progress;
  }

  // Submissions

  void submit(Request request, Responder responder) {
    double receivedAt = loop.now();
    SubmissionRequest submission = SubmissionRequest.read(request.body());
    JobSpec job;
    try {
      job = parse(submission);
    } catch (InvalidFieldException e) {
      rejectUnlessAccepted(submission.id(), BAD_REQUEST, e.getMessage(), responder);
      return;
    }
    if (machineTypes.get().isEmpty()) {
      rejectUnlessAccepted(job.id(), UNAVAILABLE, "the machine types are not known yet", responder);
      return;
    }
    Optional<String> unschedulableReason = findUnschedulableReason(job);
    if (unschedulableReason.isPresent()) {
      rejectUnlessAccepted(job.id(), UNPROCESSABLE, unschedulableReason.get(), responder);
      return;
    }
    store.submit(
        job,
        loop.wallClockMs(),
        result -> respondSubmitted(job.id(), result, receivedAt, responder));
  }

  private JobSpec parse(SubmissionRequest submission) throws InvalidFieldException {
    JobSpec job = submission.job();
    // The state service would refuse the whole transaction, and with it the submissions that share
    // it.
    if (job.encodedLength() > settings.maxValueKb() * 1024 - RECORD_OVERHEAD_BYTES) {
      throw new InvalidFieldException("body", "is longer than what can be kept of a job");
    }
    return job;
  }

  private void respondSubmitted(
      String job, SubmissionResult result, double receivedAt, Responder responder) {
    if (result == SubmissionResult.ACCEPTED || result == SubmissionResult.ACCEPTED_UNVERIFIED) {
      metrics.increment(Metrics.Counter.JOBS_SUBMITTED, 1);
      metrics.recordLatency(Metrics.Latency.SUBMIT, loop.now() - receivedAt);
    }
    Runnable response =
        switch (result) {
          case ACCEPTED -> () -> respond(job, JobStatus.OPEN, CREATED, responder);
          case ACCEPTED_UNVERIFIED ->
              // A dependency may be cancelled already: then so is this job, and it must not be
              // called anything else.
              () -> store.lookUp(job, status -> respond(job, status, CREATED, responder));
          case DUPLICATE ->
              () -> store.lookUp(job, status -> respondDuplicate(job, status, responder));
          case OVERLOADED -> () -> respondBusy(responder);
          case UNKNOWN_DEPENDENCY ->
              () ->
                  rejectUnlessAccepted(
                      job,
                      UNPROCESSABLE,
                      JobSpec.DEPENDENCIES_FIELD + ": names a job that was never accepted",
                      responder);
          case UNKNOWN -> () -> respondUnavailable(responder);
        };
    response.run();
  }

  /** Responds with the status of a job that was accepted before. */
  private void respondDuplicate(String job, JobStatus status, Responder responder) {
    if (status == JobStatus.NOT_FOUND) {
      respondUnavailable(responder);
    } else {
      respond(job, status, OK, responder);
    }
  }

  /** Why a job can never run; empty when it can. */
  private Optional<String> findUnschedulableReason(JobSpec job) {
    TeamQuota team = settings.teams().get(job.team());
    if (team == null) {
      return Optional.of(JobSpec.TEAM_FIELD + ": there is no such team");
    }
    if (machineTypes.get().values().stream().noneMatch(type -> type.fits(job))) {
      return Optional.of("a task fits no machine type that the job allows");
    }
    if ((team.maxCpus() > 0 && job.cpus() > team.maxCpus())
        || (team.maxGpus() > 0 && job.gpus() > team.maxGpus())) {
      return Optional.of("a task is beyond the limit of its team");
    }
    return Optional.empty();
  }

  /**
   * Rejects a submission with that status. But a job that was accepted once stays accepted,
   * whatever a later copy of its submission looks like.
   */
  private void rejectUnlessAccepted(
      @Nullable String job, int rejection, String problem, Responder responder) {
    if (job == null || !JobSpec.isValidId(job)) {
      responder.error(rejection, problem);
      return;
    }
    store.lookUp(
        job,
        status -> {
          if (status != JobStatus.NOT_FOUND) {
            respond(job, status, OK, responder);
          } else if (rejection == UNAVAILABLE) {
            responder.retryLater(UNAVAILABLE, problem, RETRY_AFTER_S);
          } else {
            responder.error(rejection, problem);
          }
        });
  }

  // Polls and cancellations

  void poll(String job, Responder responder) {
    double receivedAt = loop.now();
    if (!JobSpec.isValidId(job)) {
      respondNotFound(responder);
      return;
    }
    store.lookUp(
        job,
        status -> {
          metrics.recordLatency(Metrics.Latency.POLL, loop.now() - receivedAt);
          respond(job, status, OK, responder);
        });
  }

  void cancel(String job, Responder responder) {
    if (!JobSpec.isValidId(job)) {
      respondNotFound(responder);
      return;
    }
    store.cancel(job, status -> respond(job, status, OK, responder));
  }

  // Responses

  /** Responds with the status of a job, by that HTTP status if there is such a job. */
  private void respond(String job, JobStatus status, int httpStatus, Responder responder) {
    LOG.debug("Responding to a user: job={} status={}", job, status);
    Runnable response =
        switch (status) {
          case OPEN -> () -> responder.json(httpStatus, openStatus(job).toJson());
          case DONE -> () -> responder.json(httpStatus, JobStatusResponse.done(job).toJson());
          case CANCELLED ->
              () -> responder.json(httpStatus, JobStatusResponse.cancelled(job).toJson());
          case NOT_FOUND -> () -> respondNotFound(responder);
          case UNKNOWN -> () -> respondUnavailable(responder);
        };
    response.run();
  }

  private JobStatusResponse openStatus(String job) {
    JobProgress known = progress.apply(job);
    return JobStatusResponse.open(job, known.done(), known.running());
  }

  private static void respondNotFound(Responder responder) {
    responder.error(NOT_FOUND, "no such job");
  }

  private void respondUnavailable(Responder responder) {
    LOG.debug("Request refused: reason={}", "no response of the state service, or no budget left");
    metrics.increment(Metrics.Counter.REQUESTS_REFUSED, 1);
    responder.retryLater(UNAVAILABLE, "the state service does not answer", RETRY_AFTER_S);
  }

  /** Refuses a request that the admission queue has no room for. */
  void respondBusy(Responder responder) {
    LOG.debug("Request refused: reason=overloaded");
    metrics.increment(Metrics.Counter.REQUESTS_REFUSED, 1);
    responder.retryLater(TOO_MANY_REQUESTS, "too many requests", RETRY_AFTER_S);
  }
}
