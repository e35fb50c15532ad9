package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/** The request and the response by which a lease is created. */
final class LeaseGrant {
  private LeaseGrant() {}

  /**
   * Returns the request for a lease.
   *
   * @param durationS the number of seconds that the lease lasts without a renewal
   */
  static byte[] request(double durationS) {
    return Json.bytes(
        Json.object().put(ProtocolFields.LEASE_DURATION_MS, Math.round(durationS * 1000)));
  }

  /** Returns the id of the lease; empty when no lease is known to have been created. */
  static OptionalLong parse(Response response) {
    JsonNode lease = response.isOk() ? response.json() : null;
    return lease == null
        ? OptionalLong.empty()
        : OptionalLong.of(Json.integer(lease, ProtocolFields.LEASE, 0));
  }
}
