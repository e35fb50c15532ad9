/**
 * Calculations about the rented machines: what tasks are expected to arrive, when waiting tasks
 * would start on the machines that there are, and which machines to rent for those that would start
 * too late. Pure functions and the data that they work on: nothing here sends a request, reads a
 * clock or knows the cluster. The loops that act on the results are in {@code autoscaling}.
 */
@NullMarked
package org.saffronshore.fleet;

import org.jspecify.annotations.NullMarked;
