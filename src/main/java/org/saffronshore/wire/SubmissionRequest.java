package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.NullMarked;
import org.jspecify.annotations.Nullable;

/** A job submission, whose body may be malformed. */
@NullMarked
public final class SubmissionRequest {
  private final @Nullable JsonNode body;

  private SubmissionRequest(@Nullable JsonNode body) {
    this.body = body;
  }

  /** Parses a body; null stands for a body that exceeded the maximum length. */
  public static SubmissionRequest read(byte @Nullable [] body) {
    return new SubmissionRequest(body == null ? null : Json.parse(body));
  }

  /** Returns the job's id, even if other fields are malformed; null if there is none. */
  public @Nullable String id() {
    return body == null ? null : JobSpec.idOf(body);
  }

  /**
   * Returns the submitted job.
   *
   * @throws InvalidFieldException if the body is too long or is not one JSON value, or if a field
   *     is missing or invalid
   */
  public JobSpec job() throws InvalidFieldException {
    if (body == null) {
      throw new InvalidFieldException(
          "body", "must be exactly one JSON value within the maximum length");
    }
    return JobSpec.parse(body);
  }
}
