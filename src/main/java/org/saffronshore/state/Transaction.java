package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Json;

/**
 * A transaction in the making: guards on versions of keys, and changes that all happen or do not.
 */
public final class Transaction {
  /** A transaction may have so many times more guards than changes. */
  private static final int CONDITIONS_PER_WRITE = 4;

  private final ObjectNode body = Json.object();
  private final ArrayNode conditions = body.putArray("Guards");
  private final ArrayNode writes = body.putArray("Then");

  /** How many guards the state service takes in a transaction. */
  public static int maxConditions(Settings settings) {
    return CONDITIONS_PER_WRITE * settings.maxTransactionWrites();
  }

  /** Version 0 asks that the key does not exist. */
  public Transaction expectVersion(String key, long version) {
    conditions.addObject().put("K", key).put("Stamp", version);
    return this;
  }

  public Transaction put(String key, JsonNode value) {
    writes.addObject().put("Set", key).set("Data", value);
    return this;
  }

  /** Sets a key that goes away with the lease it hangs on. */
  public Transaction put(String key, JsonNode value, long lease) {
    writes.addObject().put("Set", key).put("Permit", lease).set("Data", value);
    return this;
  }

  public Transaction delete(String key) {
    writes.addObject().put("Remove", key);
    return this;
  }

  public int writeCount() {
    return writes.size();
  }

  /** One without changes only compares, and is written without a list of them. */
  byte[] toBytes() {
    if (writes.isEmpty()) {
      body.remove("Then");
    }
    return Json.bytes(body);
  }
}
