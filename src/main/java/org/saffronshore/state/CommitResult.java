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
 * @param revision the version of every key that the transaction changed; 0 unless the transaction
 *     was committed
 * @param conflictingKeys the keys that the state service named because their conditions did not
 *     hold; other conditions may have failed too
 */
public record CommitResult(Outcome outcome, long revision, Set<String> conflictingKeys) {

  /** The outcome of a transaction. */
  public enum Outcome {
    COMMITTED,

    /** A condition did not hold. */
    CONFLICT,

    /** The state service rejected the transaction as invalid; sending it again cannot succeed. */
    MALFORMED,

    /** The transaction was not sent, or was rejected, because of a rate limit. */
    OVERLOADED,

    /** The transaction may have been committed, or may still be committed later. */
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

  /** Returns the ids of the jobs that the conflicting keys belong to. */
  Set<String> conflictingJobs() {
    return conflictingKeys.stream().map(Keys::idOf).collect(Collectors.toSet());
  }
}
