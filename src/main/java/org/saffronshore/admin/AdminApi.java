package org.saffronshore.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.saffronshore.http.Request;
import org.saffronshore.http.Responder;
import org.saffronshore.state.GetResult;
import org.saffronshore.state.Keys;
import org.saffronshore.state.RequestPriority;
import org.saffronshore.state.StateClient;
import org.saffronshore.state.Transaction;
import org.saffronshore.wire.FieldReader;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.Json;

/**
 * The administration API. It is served on the address for peers, never on the address for users.
 * Settings are stored in the state service. A change names the version of the settings that it is
 * based on, so that two operators do not overwrite each other's changes.
 */
public final class AdminApi {
  private static final String METRICS_PATH = "/metrics";
  private static final String STATUS_PATH = "/admin/status";
  private static final String SETTINGS_PATH = "/admin/settings";
  private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String VERSION_FIELD = "version";
  private static final String SETTINGS_FIELD = "settings";
  private static final int RETRY_AFTER_S = 1;

  private final StateClient state;
  private final Metrics metrics;
  private final Set<String> teams;
  private final Supplier<ControllerStatus> status;

  /**
   * Creates the API; requests are passed to {@link #handle}.
   *
   * @param teams the configured teams, whose weights may be set
   * @param status supplies the current status of this controller
   */
  public AdminApi(
      StateClient state, Metrics metrics, Set<String> teams, Supplier<ControllerStatus> status) {
    this.state = state;
    this.metrics = metrics;
    this.teams = teams;
    this.status = status;
  }

  /** Handles a request if its path belongs to this API; returns false if it does not. */
  public boolean handle(Request request, Responder responder) {
    switch (request.path()) {
      case METRICS_PATH -> handleGet(request, responder, () -> respondMetrics(responder));
      case STATUS_PATH ->
          handleGet(request, responder, () -> responder.json(200, status.get().toJson()));
      case SETTINGS_PATH -> handleSettings(request, responder);
      default -> {
        return false;
      }
    }
    return true;
  }

  private static void handleGet(Request request, Responder responder, Runnable respond) {
    if (request.hasMethod("GET")) {
      respond.run();
    } else {
      responder.methodNotAllowed(request, "GET");
    }
  }

  private void respondMetrics(Responder responder) {
    byte[] body = metrics.scrape().getBytes(StandardCharsets.UTF_8);
    responder.send(200, METRICS_CONTENT_TYPE, body, 0);
  }

  private void handleSettings(Request request, Responder responder) {
    if (request.hasMethod("GET")) {
      readSettings(responder);
    } else if (request.hasMethod("PUT")) {
      changeSettings(request.json(), responder);
    } else {
      responder.methodNotAllowed(request, "GET or PUT");
    }
  }

  private void readSettings(Responder responder) {
    state.get(
        Keys.OPERATOR_SETTINGS,
        RequestPriority.NORMAL,
        stored -> {
          if (stored.isMissing()) {
            responder.json(200, settingsWithVersion(OperatorSettings.DEFAULTS, 0));
          } else if (stored.isFound()) {
            respondStoredSettings(stored, responder);
          } else {
            respondUnavailable(responder);
          }
        });
  }

  private void respondStoredSettings(GetResult stored, Responder responder) {
    try {
      OperatorSettings settings = OperatorSettings.parse(stored.value(), teams);
      responder.json(200, settingsWithVersion(settings, stored.version()));
    } catch (InvalidFieldException e) {
      responder.error(500, "stored settings are invalid: " + e.getMessage());
    }
  }

  private static ObjectNode settingsWithVersion(OperatorSettings settings, long version) {
    ObjectNode tree = Json.object().put(VERSION_FIELD, version);
    tree.set(SETTINGS_FIELD, settings.toJson());
    return tree;
  }

  private void changeSettings(@Nullable JsonNode body, Responder responder) {
    OperatorSettings settings;
    long version;
    try {
      FieldReader fields = FieldReader.of(body, "");
      version = fields.integer(VERSION_FIELD, 0, Long.MAX_VALUE);
      settings = OperatorSettings.parse(fields.object(SETTINGS_FIELD).node(), teams);
    } catch (InvalidFieldException e) {
      responder.json(400, Json.object().put("error", e.getMessage()).put("field", e.field()));
      return;
    }
    state.commit(
        new Transaction()
            .expectVersion(Keys.OPERATOR_SETTINGS, version)
            .put(Keys.OPERATOR_SETTINGS, settings.toJson()),
        RequestPriority.NORMAL,
        result -> {
          if (result.isCommitted()) {
            responder.json(200, settingsWithVersion(settings, result.revision()));
          } else if (result.isConflict()) {
            responder.error(
                409,
                "version "
                    + version
                    + " is not the current version of the settings:"
                    + " read the settings again and repeat the change");
          } else {
            respondUnavailable(responder);
          }
        });
  }

  private static void respondUnavailable(Responder responder) {
    responder.retryLater(
        503, "settings unknown: no valid response from the state service", RETRY_AFTER_S);
  }
}
