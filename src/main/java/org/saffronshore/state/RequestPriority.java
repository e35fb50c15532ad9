package org.saffronshore.state;

/** The priority of a request when a controller's share of a rate is nearly used up. */
public enum RequestPriority {
  /**
   * The request is essential to the cluster, such as a renewal of the leader's lease. The request
   * may use the reserve of the rate limiter, and is sent even while the service does not respond.
   */
  VITAL,

  /** The request serves a single user or operator, and may be rejected. */
  NORMAL
}
