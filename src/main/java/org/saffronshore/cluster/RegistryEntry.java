package org.saffronshore.cluster;

/**
 * The state of one machine's entry in the machine registry. A machine is registered when its entry
 * is known to say that the machine may hold any task. It is cordoned when its entry lists, or is
 * going to list, all tasks that it may hold. Tasks are placed on registered machines only, and no
 * machine is both registered and cordoned.
 */
final class RegistryEntry {
  private boolean registered;
  private boolean cordoned;

  /** Whether an entry was written or a write was started, so that it must be removed eventually. */
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

  /** The entry written by an earlier leader was read. */
  void loaded(boolean listsPossibleTasks) {
    registered = !listsPossibleTasks;
    cordoned = listsPossibleTasks;
    mayExist = true;
  }

  /** The tasks that the machine may hold are going to be written, so it gets no more tasks. */
  void cordon() {
    registered = false;
    cordoned = true;
    mayExist = true;
  }

  /** The entry is going to be replaced by one which says that the machine may hold any task. */
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
