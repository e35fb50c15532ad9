package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.saffronshore.wire.InvalidFieldException;
import org.saffronshore.wire.JobSpec;
import org.saffronshore.wire.Json;

/**
 * The stored form of an open job: the value of its key under {@link Keys#OPEN_JOBS}. It is written
 * once, when the job is accepted, and never changes; its version identifies that write.
 *
 * @param submittedMs the time of day at which the job was submitted, in milliseconds since the
 *     epoch; 0 when it was not recorded
 */
public record JobRecord(long submittedMs, JobSpec spec) {
  private static final String SUBMITTED_FIELD = "At";
  private static final String SPEC_FIELD = "Spec";

  /**
   * Reads a stored value.
   *
   * @throws InvalidFieldException when the specification cannot be read
   */
  public static JobRecord parse(JsonNode stored) throws InvalidFieldException {
    return new JobRecord(
        Json.integer(stored, SUBMITTED_FIELD, 0), JobSpec.parse(stored.get(SPEC_FIELD)));
  }

  /**
   * Reads only the ids of the jobs that the stored job depends on. Readers that follow dependencies
   * need nothing else, and a record whose other fields cannot be read still belongs to an open job.
   */
  static List<String> parseDependencies(JsonNode stored) {
    List<String> dependencies = new ArrayList<>();
    stored
        .path(SPEC_FIELD)
        .path(JobSpec.DEPENDENCIES_FIELD)
        .forEach(dependency -> dependencies.add(dependency.asText()));
    return List.copyOf(dependencies);
  }

  /** Returns the stored form. */
  public ObjectNode toJson() {
    ObjectNode stored = Json.object().put(SUBMITTED_FIELD, submittedMs);
    stored.set(SPEC_FIELD, spec.toJson());
    return stored;
  }
}
