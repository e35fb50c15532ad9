package org.saffronshore.peer;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects duplicate messages, and messages that arrive after a later message of the same process.
 * Without this check, a delayed withdrawal would release the leases of a candidate that has since
 * campaigned again and now leads by those leases.
 */
final class OutdatedMessageDetector {
  /** The average number of processes per controller whose latest sequence numbers are kept. */
  private static final int PROCESSES_PER_CONTROLLER = 16;

  /** A process of a controller that sends messages. */
  private record Sender(String node, String incarnation) {}

  /** The sequence number of the latest message of each process; least recently used first. */
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

  /**
   * Returns whether the message is outdated. If it is not, it becomes the latest message of its
   * process.
   */
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
