/**
 * The client of the cloud that rents out machines: it sends requests within this controller's share
 * of the cloud's request rate and provides typed results. The formats of requests and responses are
 * defined in {@code wire}; {@code autoscaling} decides when to send a request and how to handle its
 * result.
 */
@NullMarked
package org.saffronshore.cloud;

import org.jspecify.annotations.NullMarked;
