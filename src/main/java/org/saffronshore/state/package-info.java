/**
 * The state service as the controllers use it, and the forms of what they store there.
 *
 * <ul>
 *   <li>{@link org.saffronshore.state.StateClient} has the service's operations. It sends them
 *       within the controller's share of the service's rates, and returns a typed result for each.
 *       The names of the service's protocol stand in this package alone.
 *   <li>{@link org.saffronshore.state.Keys} names the keys, and says of each who writes and reads
 *       it. Each stored form is a record with {@code parse} and {@code toJson}, such as {@link
 *       org.saffronshore.state.JobRecord}; elsewhere a stored value is opaque.
 *   <li>{@link org.saffronshore.state.JobStore} serves users' submissions, look-ups and
 *       cancellations, for which no leader is needed.
 * </ul>
 *
 * <p>The package uses {@code wire} for job specifications and JSON, {@code http} for requests and
 * the event loop, and {@code config} for the settings. Nothing here knows who leads or what runs
 * where. All of it runs on the event loop.
 */
@NullMarked
package org.saffronshore.state;

import org.jspecify.annotations.NullMarked;
