package org.saffronshore.state;

/** The priority of a request when a controller's share of a rate is nearly used up. */
public enum RequestPriority {
  /**
   * The cluster depends on the request, as on renewals of the leader's lease. It may use the
   * reserve of the rate limiter, and is sent even while the service does not respond.
   */
  VITAL,

  /** The request serves a single user or operator, and may be rejected. */
  NORMAL
}
