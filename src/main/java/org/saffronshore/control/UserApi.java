package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.saffronshore.admin.Metrics;
import org.saffronshore.config.Settings;
import org.saffronshore.http.Loop;
import org.saffronshore.http.Reply;
import org.saffronshore.http.Request;
import org.saffronshore.peer.Progress;
import org.saffronshore.state.JobStore;
import org.saffronshore.state.JobStore.Accepted;
import org.saffronshore.state.JobStore.Status;
import org.saffronshore.wire.InvalidField;
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

  private final Loop loop;
  private final Settings settings;
  private final JobStore store;
  private final Metrics metrics;
  private final Supplier<Map<String, MachineType>> types;
  private final Function<String, Progress> progress;

  UserApi(
      Loop loop,
      Settings settings,
      JobStore store,
      Metrics metrics,
      Supplier<Map<String, MachineType>> types,
      Function<String, Progress> progress) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.metrics = metrics;
    this.types = types;
    this.progress = progress;
  }

  void submit(Request request, Reply reply) {
    double began = loop.now();
    JsonNode body = request.json();
    JobSpec job;
    try {
      job = parse(body);
    } catch (InvalidField e) {
      refuse(body == null ? null : Json.text(body, "Uid"), 400, e.getMessage(), reply);
      return;
    }
    if (types.get().isEmpty()) {
      refuse(job.id(), 503, "the machine types are not known yet", reply);
      return;
    }
    String problem = impossible(job);
    if (problem != null) {
      refuse(job.id(), 422, problem, reply);
      return;
    }
    store.accept(job, loop.wallMs(), accepted -> submitted(job.id(), accepted, began, reply));
  }

  private JobSpec parse(JsonNode body) throws InvalidField {
    if (body == null) {
      throw new InvalidField("body", "is not JSON");
    }
    JobSpec job = JobSpec.parse(body);
    // The state service would refuse the whole transaction, and with it the submissions that share
    // it.
    if (Json.bytes(job.toJson()).length > settings.valueKb() * 1024 - RECORD_BYTES) {
      throw new InvalidField("body", "is longer than what can be kept of a job");
    }
    return job;
  }

  private void submitted(String id, Accepted accepted, double began, Reply reply) {
    if (accepted == Accepted.NEW || accepted == Accepted.NEW_UNPROVEN) {
      metrics.add(Metrics.Count.SUBMITTED, 1);
      metrics.took(Metrics.Latency.SUBMIT, loop.now() - began);
    }
    switch (accepted) {
      case NEW -> respond(id, Status.OPEN, 201, reply);
      case NEW_UNPROVEN ->
          // A needed job may be cancelled already: then so is this one, and must not be called
          // anything else.
          store.look(id, status -> respond(id, status, 201, reply));
      case KNOWN -> store.look(id, status -> respondKnown(id, status, reply));
      case OVERLOADED -> respondBusy(reply);
      case MISSING ->
          refuse(id, 422, JobSpec.DEPENDENCIES + ": names a job that was never accepted", reply);
      default -> respondUnavailable(reply);
    }
  }

  private void respondKnown(String id, Status status, Reply reply) {
    if (status == Status.ABSENT) {
      respondUnavailable(reply);
    } else {
      respond(id, status, reply);
    }
  }

  /** Why a job can never run, or null. */
  private String impossible(JobSpec job) {
    Settings.Team team = settings.teams().get(job.team());
    if (team == null) {
      return "Crew: there is no such team";
    }
    if (types.get().values().stream().noneMatch(t -> t.fits(job))) {
      return "a task fits no machine type that the job allows";
    }
    if (team.cpusMax() > 0 && job.cpus() > team.cpusMax()
        || team.gpusMax() > 0 && job.gpus() > team.gpusMax()) {
      return "a task is beyond the limit of its team";
    }
    return null;
  }

  /**
   * A job that was accepted once stays accepted, whatever a later copy of its submission looks
   * like.
   */
  private void refuse(String id, int verdict, String problem, Reply reply) {
    if (!JobSpec.isId(id)) {
      reply.error(verdict, problem);
      return;
    }
    store.look(
        id,
        status -> {
          if (status == Status.ABSENT) {
            if (verdict == 503) {
              reply.later(503, problem, SOON_S);
            } else {
              reply.error(verdict, problem);
            }
          } else {
            respond(id, status, reply);
          }
        });
  }

  void look(String id, Reply reply) {
    double began = loop.now();
    if (!JobSpec.isId(id)) {
      reply.error(404, "no such job");
      return;
    }
    store.look(
        id,
        status -> {
          metrics.took(Metrics.Latency.POLL, loop.now() - began);
          respond(id, status, reply);
        });
  }

  void cancel(String id, Reply reply) {
    if (!JobSpec.isId(id)) {
      reply.error(404, "no such job");
      return;
    }
    store.cancel(id, status -> respond(id, status, reply));
  }

  private void respond(String id, Status status, Reply reply) {
    respond(id, status, 200, reply);
  }

  private void respond(String id, Status status, int accepted, Reply reply) {
    LOG.debug("answering a user: job={} state={}", id, status);
    ObjectNode o = Json.object().put("Uid", id);
    switch (status) {
      case OPEN -> {
        Progress p = progress.apply(id);
        reply.json(
            accepted,
            o.put("Status", p.running() > 0 ? "running" : "pending")
                .put("done", p.done())
                .put("running", p.running()));
      }
      case DONE -> reply.json(accepted, o.put("Status", "done"));
      case CANCELLED -> reply.json(accepted, o.put("Status", "aborted"));
      case ABSENT -> reply.error(404, "no such job");
      default -> respondUnavailable(reply);
    }
  }

  private void respondUnavailable(Reply reply) {
    LOG.debug("refused: the state service does not answer, or the request budget is spent");
    metrics.add(Metrics.Count.REFUSED, 1);
    reply.later(503, "the state service does not answer", SOON_S);
  }

  void respondBusy(Reply reply) {
    LOG.debug("refused: overloaded");
    metrics.add(Metrics.Count.REFUSED, 1);
    reply.later(429, "too many requests", SOON_S);
  }
}
