package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * The result of a transaction.
 *
 * @param revision the version of every key that it changed; 0 unless it was committed
 * @param conflictingKeys keys whose conditions did not hold, as far as the state service names them
 */
public record CommitResult(Outcome outcome, long revision, Set<String> conflictingKeys) {

  /** Whether the transaction was committed. */
  public enum Outcome {
    COMMITTED,

    /** A condition did not hold. */
    CONFLICT,

    /** The state service will never commit it as it is. */
    MALFORMED,

    /** It was not sent, or was refused, for the rate. */
    OVERLOADED,

    /** It may have been committed, or may yet be. */
    UNKNOWN
  }

  static CommitResult parse(Response response) {
    JsonNode body = response.json();
    if (response.isOk() && body != null) {
      return new CommitResult(
          Outcome.COMMITTED, Json.integer(body, ProtocolFields.REVISION, 0), Set.of());
    }
    Outcome outcome =
        switch (response.status()) {
          case 409 -> Outcome.CONFLICT;
          case 400 -> Outcome.MALFORMED;
          case 429 -> Outcome.OVERLOADED;
          default -> Outcome.UNKNOWN;
        };
    Set<String> conflictingKeys = new HashSet<>();
    if (outcome == Outcome.CONFLICT && body != null) {
      body.path(ProtocolFields.CONFLICTING_KEYS).forEach(key -> conflictingKeys.add(key.asText()));
    }
    return new CommitResult(outcome, 0, conflictingKeys);
  }

  public boolean isCommitted() {
    return outcome == Outcome.COMMITTED;
  }

  public boolean isConflict() {
    return outcome == Outcome.CONFLICT;
  }

  /** The jobs that the conflicting keys belong to. */
  Set<String> conflictingJobs() {
    return conflictingKeys.stream().map(Keys::idOf).collect(Collectors.toSet());
  }
}
