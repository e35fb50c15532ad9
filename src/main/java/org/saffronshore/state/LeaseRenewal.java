package org.saffronshore.state;

import org.saffronshore.http.Response;

/** What became of the renewal of a lease. */
public enum LeaseRenewal {
  RENEWED,

  /** The state service does not know the lease any more. */
  EXPIRED,

  /** The state service did not say: the lease may have been renewed or not. */
  UNKNOWN;

  static LeaseRenewal parse(Response response) {
    if (response.isOk()) {
      return RENEWED;
    }
    return response.status() == 404 ? EXPIRED : UNKNOWN;
  }
}
