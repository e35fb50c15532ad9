package org.saffronshore.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.NullMarked;
import org.saffronshore.wire.CommandMessage;

/**
 * The encoded responses to heartbeats that contain no commands, by fencing token. Most responses
 * contain none, and many machines have the same token.
 */
@NullMarked
final class EmptyResponseCache {
  private static final int MAX_ENTRIES = 1024;

  private final Map<Long, byte[]> bodies =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, byte[]> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Returns the body of a response without commands; the caller must not modify it. */
  byte[] body(long fencingToken) {
    return bodies.computeIfAbsent(
        fencingToken, token -> new CommandMessage(token, List.of()).toHeartbeatResponse());
  }
}
