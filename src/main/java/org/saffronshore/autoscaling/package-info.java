/**
 * Keeps the rented machines in line with what the tasks need: scale out rents machines, scale in
 * returns them, consolidation drains machines whose tasks fit elsewhere. These loops belong to one
 * term of the leader, as does the poller of the cloud's list of machines; the cache of machine
 * types belongs to the controller, also while it does not lead.
 *
 * <p>Everything here has side effects on {@code cluster}, {@code cloud} or {@code state}. The
 * calculations without side effects are in {@code fleet}. Nothing here sends requests to workers or
 * places tasks.
 */
@NullMarked
package org.saffronshore.autoscaling;

import org.jspecify.annotations.NullMarked;
