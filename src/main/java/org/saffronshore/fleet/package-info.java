/**
 * Calculations for scaling the fleet of rented machines: which tasks are expected to arrive, when
 * waiting tasks would start on the existing machines, and which machines to rent for tasks that
 * would start too late. The package consists of pure functions and their data: it sends no
 * requests, reads no clock and has no access to the cluster state. The loops that act on the
 * results are in {@code autoscaling}.
 */
@NullMarked
package org.saffronshore.fleet;

import org.jspecify.annotations.NullMarked;
