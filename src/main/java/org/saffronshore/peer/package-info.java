/**
 * The protocol between controllers: heartbeats, which exchange the progress of the leader's jobs,
 * leases and cancellations; requests for votes and withdrawals of candidates; and heartbeats of
 * workers that are relayed to the leader.
 *
 * <p>The names on the wire are defined only in {@link org.saffronshore.peer.PeerMessage}, {@link
 * org.saffronshore.peer.PeerResponse} and {@link org.saffronshore.peer.PeerProtocol}. The package
 * implements the voting interface of {@code leadership}, and accesses the leadership, the job store
 * and the leader of this process only through narrow interfaces that {@code control} provides.
 */
@NullMarked
package org.saffronshore.peer;

import org.jspecify.annotations.NullMarked;
