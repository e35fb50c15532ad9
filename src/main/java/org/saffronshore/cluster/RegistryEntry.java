package org.saffronshore.cluster;

/**
 * What the machine registry says of one machine. It is registered when its entry is known to say
 * that it may hold anything; it is cordoned when its entry says, or is going to say, what it holds
 * at most. Tasks are placed on registered machines only, and no machine is both.
 */
final class RegistryEntry {
  private boolean registered;
  private boolean cordoned;

  /** Whether an entry was written, or a write was begun: it has to be removed some day. */
  private boolean mayExist;

  boolean isRegistered() {
    return registered;
  }

  boolean isCordoned() {
    return cordoned;
  }

  boolean mayExist() {
    return registered || mayExist;
  }

  /** The entry of an earlier leader was read. */
  void loaded(boolean saysWhatItHolds) {
    registered = !saysWhatItHolds;
    cordoned = saysWhatItHolds;
    mayExist = true;
  }

  /** What the machine holds is going to be written: it gets nothing more. */
  void cordon() {
    registered = false;
    cordoned = true;
    mayExist = true;
  }

  /** The entry is going to be replaced by one that says that the machine may hold anything. */
  void uncordon() {
    cordoned = false;
  }

  void writeStarted() {
    mayExist = true;
  }

  void writeConfirmed() {
    registered = true;
  }
}
