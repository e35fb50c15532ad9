package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/**
 * A response to a listing: some of the keys under a prefix, in their order, at one revision.
 *
 * @param last whether no keys come after these
 */
record ListingPage(List<StoredEntry> entries, long revision, boolean last) {

  /** Reads a response; empty when it is not a listing. */
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

  /** The last key of a page that is not empty. */
  String lastKey() {
    return entries.get(entries.size() - 1).key();
  }
}
