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

  /** Records that an entry written by an earlier leader was read. */
  void loaded(boolean listsPossibleTasks) {
    registered = !listsPossibleTasks;
    cordoned = listsPossibleTasks;
    mayExist = true;
  }

  /** Cordons the machine: it gets no more tasks, and those that it may hold are to be written. */
  void cordon() {
    registered = false;
    cordoned = true;
    mayExist = true;
  }

  /** Uncordons the machine, whose entry will be replaced by one that says it may hold any task. */
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
