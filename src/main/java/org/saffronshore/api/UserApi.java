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
 * Handles submissions, polls and cancellations of users. Every controller responds to them itself,
 * from the state service, whether or not it leads.
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

  /** The shortest retry delay of the protocol, in seconds. */
  private static final int RETRY_AFTER_S = 1;

  /** The bytes that a stored job takes in addition to its specification. */
  private static final int RECORD_OVERHEAD_BYTES = 128;

  private final EventLoop loop;
  private final Settings settings;
  private final JobStore store;
  private final Metrics metrics;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final Function<String, JobProgress> progress;

  /**
   * Creates the API of a controller.
   *
   * @param machineTypes supplies the cloud's machine types by name; empty while they are not known
   * @param progress returns the known progress of an open job
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
    // The state service would refuse the whole transaction, which other submissions may share.
    int length = job.encodedLength();
    double maxLength = settings.maxValueKb() * 1024 - RECORD_OVERHEAD_BYTES;
    if (length > maxLength) {
      throw new InvalidFieldException(
          "body", "must be at most " + (long) maxLength + " bytes as a stored job, got " + length);
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
              // If a dependency is already cancelled, so is this job, and the response must say so.
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

  /** Responds to a submission of a job that was accepted before with the status of the job. */
  private void respondDuplicate(String job, JobStatus status, Responder responder) {
    if (status == JobStatus.NOT_FOUND) {
      respondUnavailable(responder);
    } else {
      respond(job, status, OK, responder);
    }
  }

  /** Returns why no task of the job can ever be scheduled, or empty if tasks can be. */
  private Optional<String> findUnschedulableReason(JobSpec job) {
    TeamQuota team = settings.teams().get(job.team());
    if (team == null) {
      return Optional.of(JobSpec.TEAM_FIELD + ": must be a configured team, got " + job.team());
    }
    if (machineTypes.get().values().stream().noneMatch(type -> type.fits(job))) {
      return Optional.of("a task does not fit on any machine type that the job allows");
    }
    if ((team.maxCpus() > 0 && job.cpus() > team.maxCpus())
        || (team.maxGpus() > 0 && job.gpus() > team.maxGpus())) {
      return Optional.of("a task exceeds the quota of its team");
    }
    return Optional.empty();
  }

  /**
   * Rejects a submission, unless a job of that id was accepted before. An accepted job stays
   * accepted, regardless of what a later submission with its id contains.
   *
   * @param job the id of the job, or null if the submission has none
   * @param rejection the HTTP status of the rejection
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

  /**
   * Responds with the status of a job.
   *
   * @param httpStatus the HTTP status of the response if the job exists and its status is known
   */
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
    LOG.debug(
        "Request refused: reason={}",
        "no valid response from the state service, or request budget used up");
    metrics.increment(Metrics.Counter.REQUESTS_REFUSED, 1);
    responder.retryLater(
        UNAVAILABLE, "job status unknown: no valid response from the state service", RETRY_AFTER_S);
  }

  /** Refuses a request because the admission queue is full or the rate of writes is used up. */
  void respondBusy(Responder responder) {
    LOG.debug("Request refused: reason=overloaded");
    metrics.increment(Metrics.Counter.REQUESTS_REFUSED, 1);
    responder.retryLater(TOO_MANY_REQUESTS, "too many requests", RETRY_AFTER_S);
  }
}
