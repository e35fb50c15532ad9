/**
 * The messages between controllers and what follows from them: heartbeats with the progress of the
 * leader's jobs and with cancellations, votes and withdrawals of candidates, and heartbeats of
 * workers that are relayed to the leader.
 *
 * <p>The names on the wire stand only in {@link org.saffronshore.peer.PeerMessage}, {@link
 * org.saffronshore.peer.PeerResponse} and {@link org.saffronshore.peer.PeerProtocol}. The package
 * implements the voting that {@code leadership} needs, and reaches the leadership, the store and
 * the leader of this process only through narrow interfaces that {@code control} provides.
 */
@NullMarked
package org.saffronshore.peer;

import org.jspecify.annotations.NullMarked;
