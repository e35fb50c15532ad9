package org.saffronshore.state;

/** How a request ranks when a controller's share of a rate is nearly used up. */
public enum RequestPriority {
  /**
   * The cluster depends on it, as on renewals of the leader's lease: it may use the reserve of the
   * rate limiter, and is sent even while the service does not respond.
   */
  VITAL,

  /** It serves one user's or operator's request and may be refused. */
  NORMAL
}
