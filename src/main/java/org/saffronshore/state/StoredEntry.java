package org.saffronshore.state;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key with its value.
 *
 * @param value the stored form; {@link Keys} names the type that parses it
 * @param version the revision of the key's last change
 */
public record StoredEntry(String key, JsonNode value, long version) {}
