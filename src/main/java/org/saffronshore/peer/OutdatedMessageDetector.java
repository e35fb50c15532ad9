package org.saffronshore.peer;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects messages that are copies, or that were overtaken by a later one of the same process. A
 * late withdrawal of a candidate that has campaigned again since, and leads, would otherwise
 * release the leases that it leads on.
 */
final class OutdatedMessageDetector {
  /** Earlier processes of a controller whose messages are still recognized. */
  private static final int PROCESSES_PER_CONTROLLER = 16;

  /** One process of a controller. */
  private record Sender(String node, String incarnation) {}

  /** The sequence number of the latest message of each process, in order of use. */
  private final Map<Sender, Long> latestSequences;

  OutdatedMessageDetector(int controllerCount) {
    this.latestSequences =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Sender, Long> eldest) {
            return size() > PROCESSES_PER_CONTROLLER * controllerCount;
          }
        };
  }

  /** Whether the message is outdated; one that is not is the latest of its process from then on. */
  boolean isOutdated(PeerMessage message) {
    Sender sender = new Sender(message.senderNode(), message.senderIncarnation());
    Long latest = latestSequences.get(sender);
    if (latest != null && message.sequence() <= latest) {
      return true;
    }
    latestSequences.put(sender, message.sequence());
    return false;
  }
}
