package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
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
import org.saffronshore.wire.Json;
import org.saffronshore.wire.MachineType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask of a node: to submit, to look, to cancel. Every node answers by itself. */
final class UserApi {
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);

  /** The soonest that the protocol lets a refused user come back. */
  private static final int SOON_S = 1;

  /** What a job's record takes beside what its user sent. */
  private static final int RECORD_BYTES = 128;

  private final EventLoop loop;
  private final Settings settings;
  private final JobStore store;
  private final Metrics metrics;
  private final Supplier<Map<String, MachineType>> types;
  private final Function<String, JobProgress> progress;

  UserApi(
      EventLoop loop,
      Settings settings,
      JobStore store,
      Metrics metrics,
      Supplier<Map<String, MachineType>> types,
      Function<String, JobProgress> progress) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.metrics = metrics;
    this.types = types;
    this.progress = progress;
  }

  void submit(Request request, Responder reply) {
    double began = loop.now();
    JsonNode body = request.json();
    JobSpec job;
    try {
      job = parse(body);
    } catch (InvalidFieldException e) {
      rejectUnlessKnown(body == null ? null : Json.text(body, "Uid"), 400, e.getMessage(), reply);
      return;
    }
    if (types.get().isEmpty()) {
      rejectUnlessKnown(job.id(), 503, "the machine types are not known yet", reply);
      return;
    }
    String problem = findImpossibility(job);
    if (problem != null) {
      rejectUnlessKnown(job.id(), 422, problem, reply);
      return;
    }
    store.submit(job, loop.wallClockMs(), accepted -> submitted(job.id(), accepted, began, reply));
  }

  private JobSpec parse(JsonNode body) throws InvalidFieldException {
    if (body == null) {
      throw new InvalidFieldException("body", "is not JSON");
    }
    JobSpec job = JobSpec.parse(body);
    // The state service would refuse the whole transaction, and with it the submissions that share
    // it.
    if (Json.bytes(job.toJson()).length > settings.maxValueKb() * 1024 - RECORD_BYTES) {
      throw new InvalidFieldException("body", "is longer than what can be kept of a job");
    }
    return job;
  }

  private void submitted(String id, SubmissionResult accepted, double began, Responder reply) {
    if (accepted == SubmissionResult.ACCEPTED || accepted == SubmissionResult.ACCEPTED_UNVERIFIED) {
      metrics.increment(Metrics.Counter.SUBMITTED, 1);
      metrics.recordLatency(Metrics.Latency.SUBMIT, loop.now() - began);
    }
    switch (accepted) {
      case ACCEPTED -> respond(id, JobStatus.OPEN, 201, reply);
      case ACCEPTED_UNVERIFIED ->
          // A needed job may be cancelled already: then so is this one, and must not be called
          // anything else.
          store.lookUp(id, status -> respond(id, status, 201, reply));
      case DUPLICATE -> store.lookUp(id, status -> respondKnown(id, status, reply));
      case OVERLOADED -> respondBusy(reply);
      case UNKNOWN_DEPENDENCY ->
          rejectUnlessKnown(
              id, 422, JobSpec.DEPENDENCIES_FIELD + ": names a job that was never accepted", reply);
      default -> respondUnavailable(reply);
    }
  }

  private void respondKnown(String id, JobStatus status, Responder reply) {
    if (status == JobStatus.NOT_FOUND) {
      respondUnavailable(reply);
    } else {
      respond(id, status, reply);
    }
  }

  /** Why a job can never run, or null. */
  private String findImpossibility(JobSpec job) {
    TeamQuota team = settings.teams().get(job.team());
    if (team == null) {
      return "Crew: there is no such team";
    }
    if (types.get().values().stream().noneMatch(t -> t.fits(job))) {
      return "a task fits no machine type that the job allows";
    }
    if ((team.maxCpus() > 0 && job.cpus() > team.maxCpus())
        || (team.maxGpus() > 0 && job.gpus() > team.maxGpus())) {
      return "a task is beyond the limit of its team";
    }
    return null;
  }

  /**
   * A job that was accepted once stays accepted, whatever a later copy of its submission looks
   * like.
   */
  private void rejectUnlessKnown(String id, int verdict, String problem, Responder reply) {
    if (!JobSpec.isValidId(id)) {
      reply.error(verdict, problem);
      return;
    }
    store.lookUp(
        id,
        status -> {
          if (status == JobStatus.NOT_FOUND) {
            if (verdict == 503) {
              reply.retryLater(503, problem, SOON_S);
            } else {
              reply.error(verdict, problem);
            }
          } else {
            respond(id, status, reply);
          }
        });
  }

  void poll(String id, Responder reply) {
    double began = loop.now();
    if (!JobSpec.isValidId(id)) {
      reply.error(404, "no such job");
      return;
    }
    store.lookUp(
        id,
        status -> {
          metrics.recordLatency(Metrics.Latency.POLL, loop.now() - began);
          respond(id, status, reply);
        });
  }

  void cancel(String id, Responder reply) {
    if (!JobSpec.isValidId(id)) {
      reply.error(404, "no such job");
      return;
    }
    store.cancel(id, status -> respond(id, status, reply));
  }

  private void respond(String id, JobStatus status, Responder reply) {
    respond(id, status, 200, reply);
  }

  private void respond(String id, JobStatus status, int accepted, Responder reply) {
    LOG.debug("answering a user: job={} state={}", id, status);
    ObjectNode o = Json.object().put("Uid", id);
    switch (status) {
      case OPEN -> {
        JobProgress p = progress.apply(id);
        reply.json(
            accepted,
            o.put("Status", p.running() > 0 ? "running" : "pending")
                .put("done", p.done())
                .put("running", p.running()));
      }
      case DONE -> reply.json(accepted, o.put("Status", "done"));
      case CANCELLED -> reply.json(accepted, o.put("Status", "aborted"));
      case NOT_FOUND -> reply.error(404, "no such job");
      default -> respondUnavailable(reply);
    }
  }

  private void respondUnavailable(Responder reply) {
    LOG.debug("refused: the state service does not answer, or the request budget is spent");
    metrics.increment(Metrics.Counter.REFUSED, 1);
    reply.retryLater(503, "the state service does not answer", SOON_S);
  }

  void respondBusy(Responder reply) {
    LOG.debug("refused: overloaded");
    metrics.increment(Metrics.Counter.REFUSED, 1);
    reply.retryLater(429, "too many requests", SOON_S);
  }
}
