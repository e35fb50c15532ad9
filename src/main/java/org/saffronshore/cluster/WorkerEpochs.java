package org.saffronshore.cluster;

import org.saffronshore.wire.Heartbeat;

/**
 * The epoch and sequence of a worker's newest message, kept for all messages and separately for
 * heartbeats that are not responses to commands. A message that is not newer is late or a copy.
 */
final class WorkerEpochs {
  private static final long NONE = -1;

  private long epoch;
  private long sequence = NONE;
  private long heartbeatEpoch;
  private long heartbeatSequence = NONE;

  /** Epochs up to and including this one have expired: their messages are ignored. */
  private long lastExpiredEpoch = NONE;

  /** Returns the current epoch, or 0 before the first message. */
  long epoch() {
    return epoch;
  }

  /** Returns whether the message is newer, by epoch and sequence, than all previous messages. */
  boolean isNewest(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }

  /** Returns whether the message is newer than all previous ones and its epoch has not expired. */
  boolean isCurrent(Heartbeat message) {
    return message.epoch() > lastExpiredEpoch && isNewest(message);
  }

  /**
   * Records a heartbeat that is not a response to a command.
   *
   * @return whether it is the newest such heartbeat and its epoch has not expired
   */
  boolean recordHeartbeat(Heartbeat heartbeat) {
    if (heartbeat.epoch() <= lastExpiredEpoch
        || !heartbeat.isNewerThan(heartbeatEpoch, heartbeatSequence)) {
      return false;
    }
    heartbeatEpoch = heartbeat.epoch();
    heartbeatSequence = heartbeat.sequence();
    return true;
  }

  void begin(long newEpoch) {
    epoch = newEpoch;
  }

  void advanceTo(long newSequence) {
    sequence = newSequence;
  }

  /** Marks the current epoch as expired, since its lease must have expired. */
  void expire() {
    lastExpiredEpoch = Math.max(lastExpiredEpoch, epoch);
  }
}
