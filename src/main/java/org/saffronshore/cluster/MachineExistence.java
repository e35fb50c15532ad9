package org.saffronshore.cluster;

/**
 * What shows that a machine exists, and since when. Messages of earlier terms, which may be
 * outdated, do not show it: a machine that only they name may be gone.
 */
final class MachineExistence {
  private boolean confirmed;

  /** See {@link #knownSince()}. */
  private double knownSince;

  /**
   * Creates the record of a machine whose existence is not confirmed.
   *
   * @param now the time in seconds, at which the leader learns of the machine
   */
  MachineExistence(double now) {
    knownSince = now;
  }

  /**
   * Returns whether the machine is reconciled, or the registry, a rental or a list of the cloud
   * names it.
   */
  boolean isConfirmed() {
    return confirmed;
  }

  void confirm() {
    confirmed = true;
  }

  /** Returns the earliest moment, in seconds, at which the machine is known to have existed. */
  double knownSince() {
    return knownSince;
  }

  /** Records that the machine is known to have existed at the given moment, in seconds. */
  void knownAt(double moment) {
    knownSince = Math.min(knownSince, moment);
  }
}
