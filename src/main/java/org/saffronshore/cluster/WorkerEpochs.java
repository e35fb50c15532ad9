package org.saffronshore.cluster;

import org.saffronshore.wire.Heartbeat;

/**
 * How far a worker's messages have come, by epoch and sequence: of all of them, and of the
 * heartbeats that the worker sends by itself. What is not newer is a late message or a copy.
 */
final class WorkerEpochs {
  private static final long NONE = -1;

  private long epoch;
  private long sequence = NONE;
  private long heartbeatEpoch;
  private long heartbeatSequence = NONE;

  /** Epochs up to this one are over: messages from them are ignored. */
  private long lastExpiredEpoch = NONE;

  /** The current epoch; 0 before the first message. */
  long epoch() {
    return epoch;
  }

  /** Whether the message is newer than all before it, in order of epoch and sequence. */
  boolean isNewest(Heartbeat message) {
    return message.isNewerThan(epoch, sequence);
  }

  /** Whether the message is newer than all before it and of an epoch that has not expired. */
  boolean isCurrent(Heartbeat message) {
    return message.epoch() > lastExpiredEpoch && isNewest(message);
  }

  /** Records a heartbeat that the worker sent by itself; true when it is the newest of these. */
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

  /** The lease of the current epoch must have run out. */
  void expire() {
    lastExpiredEpoch = Math.max(lastExpiredEpoch, epoch);
  }
}
