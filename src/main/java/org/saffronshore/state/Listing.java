package org.saffronshore.state;

import java.util.List;

/**
 * All entries under a prefix, in key order.
 *
 * @param revision the revision from which a watch on the prefix continues
 */
public record Listing(List<StoredEntry> entries, long revision) {}
