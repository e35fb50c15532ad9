/**
 * Keeps the rented machines in line with what the tasks need, for one term of the leader: scale out
 * rents machines, scale in returns them, consolidation drains machines whose tasks fit elsewhere.
 * The list of machines and the machine types are read from the cloud here, too.
 *
 * <p>These are loops with side effects on {@code cluster} and {@code cloud}. The calculations that
 * they use and that have no side effects are in {@code fleet}. Nothing here sends requests to
 * workers or places tasks.
 */
@NullMarked
package org.saffronshore.autoscaling;

import org.jspecify.annotations.NullMarked;
