/**
 * The HTTP API of a controller for users, workers and load balancers: submissions, polls and
 * cancellations of jobs, heartbeats of workers, the health check, and the router with the admission
 * queue in front of them.
 *
 * <p>The message classes of {@code wire} read and write the bodies. The package uses {@code state}
 * for the status of jobs and {@code peer} for what other controllers know. It does not depend on
 * the leader, but only on narrow interfaces to it that {@code control} provides.
 */
@NullMarked
package org.saffronshore.api;

import org.jspecify.annotations.NullMarked;
