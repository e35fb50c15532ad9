package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value.
 *
 * @param value the stored form, which the codec of the key's prefix reads; see {@link Keys}
 * @param version the revision of the key's last change
 */
public record StoredEntry(String key, JsonNode value, long version) {}
