package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Sends a worker to the leader.
 *
 * @param leader the leader's name; null where the worker has to find it by itself
 */
public record RedirectResponse(@Nullable String leader) {

  /** The form in which it is sent. */
  public ObjectNode toJson() {
    ObjectNode tree = Json.object();
    if (leader != null) {
      tree.put("Dispatcher", leader);
    }
    return tree;
  }
}
