package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * One page of a listing: some of the entries under a prefix, in key order, at one revision.
 *
 * @param last whether no further entries follow
 */
record ListingPage(List<StoredEntry> entries, long revision, boolean last) {

  /** Reads a response; the result is empty when the response is not a listing. */
  static Optional<ListingPage> parse(Response response) {
    JsonNode body = response.isOk() ? response.json() : null;
    if (body == null || !body.path(ProtocolFields.ITEMS).isArray()) {
      return Optional.empty();
    }
    List<StoredEntry> entries = new ArrayList<>();
    for (JsonNode item : body.get(ProtocolFields.ITEMS)) {
      entries.add(
          new StoredEntry(
              item.path(ProtocolFields.KEY).textValue(),
              item.get(ProtocolFields.VALUE),
              Json.integer(item, ProtocolFields.VERSION, 0)));
    }
    boolean last = !Json.bool(body, ProtocolFields.TRUNCATED) || entries.isEmpty();
    return Optional.of(
        new ListingPage(entries, Json.integer(body, ProtocolFields.REVISION, 0), last));
  }

  /** Returns the last key of the page, which must not be empty. */
  String lastKey() {
    return entries.get(entries.size() - 1).key();
  }
}
