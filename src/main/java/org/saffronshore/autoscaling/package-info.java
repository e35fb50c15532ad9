/**
 * Adjusts the rented machines to what the tasks need: scale-out rents machines, scale-in returns
 * them, and consolidation drains machines whose tasks fit on other machines. These periodic tasks
 * and the poller of the cloud's machine list belong to one leader term. The cache of machine types
 * belongs to the controller and also works while the controller does not lead.
 *
 * <p>The code here has side effects on {@code cluster}, {@code cloud} or {@code state};
 * calculations without side effects are in {@code fleet}. This package neither sends requests to
 * workers nor places tasks.
 */
@NullMarked
package org.saffronshore.autoscaling;

import org.jspecify.annotations.NullMarked;
