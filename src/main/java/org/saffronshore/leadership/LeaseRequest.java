package org.saffronshore.leadership;

/**
 * A request by another controller for the lease of this controller.
 *
 * @param requester the process that requests the lease
 * @param term the term that the requester leads or is a candidate for
 * @param role the requester's role in that term
 * @param stateServiceAvailable whether the state service serves the requester
 */
public record LeaseRequest(
    ControllerProcess requester, long term, Role role, boolean stateServiceAvailable) {

  /** The role of the requester in the term of the request. */
  public enum Role {
    /** The requester is a candidate, and requests a vote. */
    CANDIDATE,
    /** The requester already leads the term, and renews the lease. */
    LEADER
  }
}
