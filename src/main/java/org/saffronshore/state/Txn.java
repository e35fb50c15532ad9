package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.Json;

/**
 * A transaction in the making: guards on versions of keys, and changes that all happen or do not.
 */
public final class Txn {
  /** A transaction may have so many times more guards than changes. */
  private static final int GUARDS_PER_CHANGE = 4;

  private final ObjectNode body = Json.object();
  private final ArrayNode guards = body.putArray("Guards");
  private final ArrayNode changes = body.putArray("Then");

  /** How many guards the state service takes in a transaction. */
  public static int maxGuards(Settings settings) {
    return GUARDS_PER_CHANGE * settings.txnOps();
  }

  /** Version 0 asks that the key does not exist. */
  public Txn guard(String key, long version) {
    guards.addObject().put("K", key).put("Stamp", version);
    return this;
  }

  public Txn set(String key, JsonNode value) {
    changes.addObject().put("Set", key).set("Data", value);
    return this;
  }

  /** Sets a key that goes away with the lease it hangs on. */
  public Txn set(String key, JsonNode value, long lease) {
    changes.addObject().put("Set", key).put("Permit", lease).set("Data", value);
    return this;
  }

  public Txn remove(String key) {
    changes.addObject().put("Remove", key);
    return this;
  }

  public int changes() {
    return changes.size();
  }

  /** One without changes only compares, and is written without a list of them. */
  byte[] bytes() {
    if (changes.isEmpty()) {
      body.remove("Then");
    }
    return Json.bytes(body);
  }
}
