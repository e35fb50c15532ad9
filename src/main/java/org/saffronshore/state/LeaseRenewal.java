package org.saffronshore.state;

import org.saffronshore.http.Response;

/** The result of a request to renew a lease. */
public enum LeaseRenewal {
  RENEWED,

  /** The state service no longer knows the lease. */
  EXPIRED,

  /** The request was not sent or got no conclusive response: the lease may have been renewed. */
  UNKNOWN;

  static LeaseRenewal parse(Response response) {
    if (response.isOk()) {
      return RENEWED;
    }
    return response.status() == 404 ? EXPIRED : UNKNOWN;
  }
}
