/**
 * The client of the state service, and the stored forms of what the controllers keep there.
 *
 * <ul>
 *   <li>{@link org.saffronshore.state.StateClient} has the service's operations. It sends requests
 *       within the controller's share of the service's rates, and returns a typed result for each.
 *       No other package uses the names of the service's protocol.
 *   <li>{@link org.saffronshore.state.Keys} defines the keys, and documents who writes and reads
 *       each of them. Each stored form is a record with {@code parse} and {@code toJson}, such as
 *       {@link org.saffronshore.state.JobRecord}; outside these records a stored value is opaque.
 *   <li>{@link org.saffronshore.state.JobStore} serves users' submissions, look-ups and
 *       cancellations, which need no leader.
 * </ul>
 *
 * <p>The package uses {@code wire} for job specifications and JSON, {@code http} for requests and
 * the event loop, and {@code config} for the settings. The package does not determine who leads or
 * which task runs where. All of its code runs on the event loop.
 */
@NullMarked
package org.saffronshore.state;

import org.jspecify.annotations.NullMarked;
