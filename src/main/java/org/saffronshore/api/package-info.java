/**
 * What users, workers and load balancers request of a controller: submissions, polls and
 * cancellations, heartbeats of workers, the health check, and the router with its admission queue
 * in front of them.
 *
 * <p>Bodies are read and written by the typed messages of {@code wire}. The package uses {@code
 * state} for what is known of jobs and {@code peer} for what other controllers know; it never sees
 * the leader, only narrow interfaces to it that {@code control} provides.
 */
@NullMarked
package org.saffronshore.api;

import org.jspecify.annotations.NullMarked;
