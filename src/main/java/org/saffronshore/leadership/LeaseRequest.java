package org.saffronshore.leadership;

/**
 * Another controller's request for the lease of this one.
 *
 * @param requester the process that requests the lease
 * @param term the term that it leads, or wants to lead
 * @param role why it requests the lease
 * @param stateServiceAvailable whether the state service serves the requester
 */
public record LeaseRequest(
    ControllerProcess requester, long term, Role role, boolean stateServiceAvailable) {

  /** What the requester is in the term that it names. */
  public enum Role {
    /** Requests a vote. */
    CANDIDATE,
    /** Leads already, and renews the lease. */
    LEADER
  }
}
