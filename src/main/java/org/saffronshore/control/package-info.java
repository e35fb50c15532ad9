/**
 * A controller as a whole: {@link org.saffronshore.control.Controller} routes the requests of
 * users, workers, peers and operators, and {@link org.saffronshore.control.Leader} wires one term
 * as leader and runs its loops: heartbeats, commands, scheduling cycles and the checks that make it
 * step down.
 *
 * <p>It depends on all other packages, and only {@code cli} depends on it. Decisions and formats
 * belong elsewhere: to {@code scheduling}, {@code cluster} and {@code failover}, and to {@code
 * wire}, {@code peer} and {@code state}.
 */
package org.saffronshore.control;
