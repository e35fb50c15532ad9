package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/** The messages by which a lease is created. */
final class LeaseGrant {
  private LeaseGrant() {}

  /** The request for a lease that lasts so many seconds without a renewal. */
  static byte[] request(double durationS) {
    return Json.bytes(
        Json.object().put(ProtocolFields.LEASE_DURATION_MS, Math.round(durationS * 1000)));
  }

  /** The id of the lease; empty when none is known to have been created. */
  static OptionalLong parse(Response response) {
    JsonNode lease = response.isOk() ? response.json() : null;
    return lease == null
        ? OptionalLong.empty()
        : OptionalLong.of(Json.integer(lease, ProtocolFields.LEASE, 0));
  }
}
