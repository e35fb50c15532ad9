/**
 * The client of the cloud that rents out machines: requests within this controller's share of the
 * cloud's request rate, and their typed results. What a request or a response looks like is the
 * business of {@code wire}; when to send one and what follows from its result is decided in {@code
 * autoscaling}.
 */
@NullMarked
package org.saffronshore.cloud;

import org.jspecify.annotations.NullMarked;
