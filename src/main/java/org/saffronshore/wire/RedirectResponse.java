package org.saffronshore.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * The response that redirects a worker to the leader.
 *
 * @param leader the name of the leader's node; null if the worker has to find the leader itself
 */
public record RedirectResponse(@Nullable String leader) {

  /** Returns the body of the response. */
  public ObjectNode toJson() {
    ObjectNode tree = Json.object();
    if (leader != null) {
      tree.put("Dispatcher", leader);
    }
    return tree;
  }
}
