package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Json;

/**
 * A transaction under construction: conditions on the versions of keys, and writes. If every
 * condition holds, all writes are applied; otherwise none of them is.
 */
public final class Transaction {
  /** The state service allows this many conditions for each write that it allows. */
  private static final int CONDITIONS_PER_WRITE = 4;

  /** The expected version of a key that does not exist. */
  static final long ABSENT = 0;

  private final ObjectNode body = Json.object();
  private final ArrayNode conditions = body.putArray(ProtocolFields.CONDITIONS);
  private final ArrayNode writes = body.putArray(ProtocolFields.WRITES);

  /** Returns the maximum number of conditions that the state service allows in a transaction. */
  public static int maxConditions(Settings settings) {
    return CONDITIONS_PER_WRITE * settings.maxTransactionWrites();
  }

  /** Adds the condition that a key has a version; version 0 means that the key does not exist. */
  public Transaction expectVersion(String key, long version) {
    conditions.addObject().put(ProtocolFields.KEY, key).put(ProtocolFields.VERSION, version);
    return this;
  }

  /** Adds a write that gives a key a value. */
  public Transaction put(String key, JsonNode value) {
    writes.addObject().put(ProtocolFields.PUT, key).set(ProtocolFields.VALUE, value);
    return this;
  }

  /** Adds a write that attaches a key to a lease; the key is deleted when the lease ends. */
  public Transaction put(String key, JsonNode value, long leaseId) {
    writes
        .addObject()
        .put(ProtocolFields.PUT, key)
        .put(ProtocolFields.LEASE, leaseId)
        .set(ProtocolFields.VALUE, value);
    return this;
  }

  /** Adds a write that deletes a key. */
  public Transaction delete(String key) {
    writes.addObject().put(ProtocolFields.DELETE, key);
    return this;
  }

  public int writeCount() {
    return writes.size();
  }

  /** Returns the body of the request. An empty list of writes is left out. */
  byte[] toBytes() {
    if (writes.isEmpty()) {
      body.remove(ProtocolFields.WRITES);
    }
    return Json.bytes(body);
  }
}
