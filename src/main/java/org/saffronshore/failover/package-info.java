/**
 * What the leader of a new term reads, reconciles and persists for the next one: recovery of the
 * stored state, finished tasks, launch watermarks, the machine registry, job outcomes, and how far
 * cancellations are known. {@link org.saffronshore.failover.Failover} is the entry point; the other
 * types are its parts.
 *
 * <p>It uses the cluster, the leader's term and the state service. It knows nothing of scheduling,
 * of requests, or of the messages of workers and peers. The forms of stored values are in {@link
 * org.saffronshore.state}; here they are only passed on.
 */
@NullMarked
package org.saffronshore.failover;

import org.jspecify.annotations.NullMarked;
