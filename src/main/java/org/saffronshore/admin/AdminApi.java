package org.saffronshore.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Supplier;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The administration API, served on the peers' address and never on the users'. Settings live in
 * the state service and are changed by naming the version that was read, so that two operators do
 * not overwrite each other.
 */
public final class AdminApi {
  private final StateClient state;
  private final Metrics metrics;
  private final Set<String> teams;
  private final Supplier<ObjectNode> status;

  /**
   * @param status what GET /admin/status answers
   */
  public AdminApi(
      StateClient state, Metrics metrics, Set<String> teams, Supplier<ObjectNode> status) {
    this.state = state;
    this.metrics = metrics;
    this.teams = teams;
    this.status = status;
  }

  /** Answers a request that is the API's; false when the path is not. */
  public boolean handle(Request request, Responder reply) {
    switch (request.path()) {
      case "/metrics" ->
          get(
              request,
              reply,
              () ->
                  reply.send(
                      200,
                      "text/plain; version=0.0.4; charset=utf-8",
                      metrics.scrape().getBytes(StandardCharsets.UTF_8),
                      0));
      case "/admin/status" -> get(request, reply, () -> reply.json(200, status.get()));
      case "/admin/settings" -> {
        if (request.hasMethod("GET")) {
          read(reply);
        } else if (request.hasMethod("PUT")) {
          change(request.json(), reply);
        } else {
          reply.error(405, "GET or PUT");
        }
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private static void get(Request request, Responder reply, Runnable answer) {
    if (request.hasMethod("GET")) {
      answer.run();
    } else {
      reply.error(405, "GET only");
    }
  }

  private void read(Responder reply) {
    state.get(
        Keys.OPERATOR_SETTINGS,
        RequestPriority.NORMAL,
        answer -> {
          if (answer.isMissing()) {
            reply.json(200, versioned(OperatorSettings.DEFAULTS.toJson(), 0));
          } else if (answer.isFound()) {
            try {
              OperatorSettings stored = OperatorSettings.parse(answer.value(), teams);
              reply.json(200, versioned(stored.toJson(), answer.version()));
            } catch (InvalidFieldException e) {
              reply.error(500, "stored settings: " + e.getMessage());
            }
          } else {
            reply.retryLater(503, "the state service does not answer", 1);
          }
        });
  }

  private static ObjectNode versioned(ObjectNode settings, long version) {
    ObjectNode o = Json.object().put("version", version);
    o.set("settings", settings);
    return o;
  }

  private void change(JsonNode body, Responder reply) {
    OperatorSettings settings;
    long version;
    try {
      FieldReader f = FieldReader.of(body, "");
      version = f.count("version", 0, Long.MAX_VALUE);
      settings = OperatorSettings.parse(f.object("settings").node(), teams);
    } catch (InvalidFieldException e) {
      reply.json(400, Json.object().put("error", e.getMessage()).put("field", e.field()));
      return;
    }
    state.commit(
        new Transaction()
            .expectVersion(Keys.OPERATOR_SETTINGS, version)
            .put(Keys.OPERATOR_SETTINGS, settings.toJson()),
        RequestPriority.NORMAL,
        answer -> {
          if (answer.isCommitted()) {
            reply.json(200, versioned(settings.toJson(), answer.revision()));
          } else if (answer.isConflict()) {
            reply.error(409, "the settings have another version by now: read them again");
          } else {
            reply.retryLater(503, "the state service does not answer", 1);
          }
        });
  }
}
