/**
 * Which controller leads: elections, the leases that a leader acts on, and the term, which is the
 * fencing token of its commands. {@link org.saffronshore.leadership.Leadership} is what the rest of
 * the program asks; {@code docs/design.md} proves that two leaders never act at the same time.
 *
 * <p>Uses the state service through {@code state}, and its peers through {@link
 * org.saffronshore.leadership.PeerVoting}, which {@code control} implements. Nothing here knows
 * what a leader does. All of it runs on the event loop.
 */
@NullMarked
package org.saffronshore.leadership;

import org.jspecify.annotations.NullMarked;
