package org.saffronshore.cloud;

import java.util.List;
import java.util.Optional;
import org.saffronshore.http.Response;
import org.saffronshore.wire.RentalResponse;

/**
 * The result of a rental request.
 *
 * @param machines ids of the rented machines, fewer than requested if the cloud has no more; empty
 *     unless the outcome is {@link Outcome#RENTED}
 */
public record RentalResult(Outcome outcome, List<String> machines) {

  /** The outcome of a rental request. */
  public enum Outcome {
    RENTED,
    NO_CAPACITY,
    MALFORMED,

    /** The cloud may have rented out machines; the request must be repeated under the same name. */
    UNKNOWN
  }

  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  static RentalResult of(Response response) {
    Optional<RentalResponse> body = RentalResponse.parse(response.body());
    if (response.isOk() && body.isPresent()) {
      return new RentalResult(Outcome.RENTED, body.get().machines());
    }
    return new RentalResult(failureOutcome(response.status(), body), List.of());
  }

  private static Outcome failureOutcome(int status, Optional<RentalResponse> body) {
    if (status == UNAVAILABLE && body.isPresent() && body.get().noCapacity()) {
      return Outcome.NO_CAPACITY;
    }
    return status == BAD_REQUEST ? Outcome.MALFORMED : Outcome.UNKNOWN;
  }
}
