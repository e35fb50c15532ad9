package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * What became of a transaction.
 *
 * @param revision the version of every key that it changed; 0 unless it was committed
 * @param conflictingKeys keys whose guards failed, as far as the state service names them
 */
public record CommitResult(Outcome outcome, long revision, Set<String> conflictingKeys) {

  /**
   * REFUSED: a guard failed. MALFORMED: the state service will never take it. OVERLOADED: it was
   * not sent, or refused for the rate. UNKNOWN: it may have been carried out, or may yet be.
   */
  public enum Outcome {
    COMMITTED,
    CONFLICT,
    MALFORMED,
    OVERLOADED,
    UNKNOWN
  }

  static CommitResult of(Response answer) {
    JsonNode body = answer.json();
    if (answer.ok() && body != null) {
      return new CommitResult(Outcome.COMMITTED, Json.integer(body, "Ledger", 0), Set.of());
    }
    Outcome outcome =
        switch (answer.status()) {
          case 409 -> Outcome.CONFLICT;
          case 400 -> Outcome.MALFORMED;
          case 429 -> Outcome.OVERLOADED;
          default -> Outcome.UNKNOWN;
        };
    Set<String> failed = new HashSet<>();
    if (outcome == Outcome.CONFLICT && body != null) {
      body.path("failed").forEach(key -> failed.add(key.asText()));
    }
    return new CommitResult(outcome, 0, failed);
  }

  public boolean isCommitted() {
    return outcome == Outcome.COMMITTED;
  }

  public boolean isConflict() {
    return outcome == Outcome.CONFLICT;
  }

  /** The jobs whose keys failed a guard. */
  Set<String> conflictingJobs() {
    return conflictingKeys.stream().map(Keys::idOf).collect(Collectors.toSet());
  }
}
