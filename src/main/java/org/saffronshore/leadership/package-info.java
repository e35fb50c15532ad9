/**
 * Leader election: campaigns and votes, the leases that allow a leader to act, and the term, which
 * is the fencing token of the leader's commands. {@link org.saffronshore.leadership.Leadership} is
 * the entry point for the rest of the program; {@code docs/design.md} proves that two leaders never
 * act at the same time.
 *
 * <p>This package uses the state service through {@code state}, and the peers through {@link
 * org.saffronshore.leadership.PeerVoting}, which {@code peer} implements. It does not depend on
 * what a leader does. All of it runs on the event loop.
 */
@NullMarked
package org.saffronshore.leadership;

import org.jspecify.annotations.NullMarked;
