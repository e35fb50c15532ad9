/**
 * The controller process: {@link org.saffronshore.control.Controller} routes the requests of users,
 * workers, peers and operators, and {@link org.saffronshore.control.Leader} wires one term as
 * leader and runs its loops: heartbeats, commands, scheduling cycles and the checks that make it
 * step down.
 *
 * <p>The package depends on all other packages, and only {@code cli} depends on it. Decisions are
 * made in {@code scheduling}, {@code cluster} and {@code failover}; formats are defined in {@code
 * wire}, {@code peer} and {@code state}.
 */
package org.saffronshore.control;
