/**
 * Takeover by the leader of a new term, and the records that it persists for the next leader:
 * recovery of the stored state, finished tasks, launch watermarks, the machine registry, job
 * outcomes, and the time up to which cancellations are known. {@link
 * org.saffronshore.failover.Failover} is the entry point; the other types are its components.
 *
 * <p>This package depends on the cluster, the leader's term and the state service. It does not
 * depend on scheduling, on user requests, or on the messages of workers and peers. The formats of
 * stored values are defined in {@link org.saffronshore.state}.
 */
@NullMarked
package org.saffronshore.failover;

import org.jspecify.annotations.NullMarked;
