package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.NullMarked;
import org.jspecify.annotations.Nullable;

/** The body of a submission, which may be malformed. */
@NullMarked
public final class SubmissionRequest {
  private final @Nullable JsonNode body;

  private SubmissionRequest(@Nullable JsonNode body) {
    this.body = body;
  }

  /** Reads a body; null stands for one that was too long to be read. */
  public static SubmissionRequest read(byte @Nullable [] body) {
    return new SubmissionRequest(body == null ? null : Json.parse(body));
  }

  /** The job's id, even if the submission is malformed otherwise; null when there is none. */
  public @Nullable String id() {
    return body == null ? null : JobSpec.idOf(body);
  }

  /**
   * The job that is submitted.
   *
   * @throws InvalidFieldException if the body is no JSON, or a field is missing or not valid
   */
  public JobSpec job() throws InvalidFieldException {
    if (body == null) {
      throw new InvalidFieldException("body", "is not JSON");
    }
    return JobSpec.parse(body);
  }
}
