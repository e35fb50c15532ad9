package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Json;

/**
 * A transaction that is being built: conditions on the versions of keys, and writes, which all
 * happen if every condition holds and otherwise not at all.
 */
public final class Transaction {
  /** The state service takes so many times more conditions than writes. */
  private static final int CONDITIONS_PER_WRITE = 4;

  /** The version to expect of a key that does not exist. */
  static final long ABSENT = 0;

  private final ObjectNode body = Json.object();
  private final ArrayNode conditions = body.putArray(ProtocolFields.CONDITIONS);
  private final ArrayNode writes = body.putArray(ProtocolFields.WRITES);

  /** How many conditions the state service takes in a transaction. */
  public static int maxConditions(Settings settings) {
    return CONDITIONS_PER_WRITE * settings.maxTransactionWrites();
  }

  /** Adds the condition that a key has a version; version 0 means that it does not exist. */
  public Transaction expectVersion(String key, long version) {
    conditions.addObject().put(ProtocolFields.KEY, key).put(ProtocolFields.VERSION, version);
    return this;
  }

  /** Adds a write that gives a key a value. */
  public Transaction put(String key, JsonNode value) {
    writes.addObject().put(ProtocolFields.PUT, key).set(ProtocolFields.VALUE, value);
    return this;
  }

  /** Adds a write of a key that is deleted when the lease it is attached to ends. */
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

  /** The message; that of a transaction without writes has no list of them. */
  byte[] toBytes() {
    if (writes.isEmpty()) {
      body.remove(ProtocolFields.WRITES);
    }
    return Json.bytes(body);
  }
}
