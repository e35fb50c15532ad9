package org.saffronshore.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes message bodies. Only trees and streams are used: binding to classes by
 * reflection would take most of a start on a small share of a core.
 */
public final class Json {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  private Json() {}

  /** A new object without fields. */
  public static ObjectNode object() {
    return JSON.createObjectNode();
  }

  /** The body as a tree, or null when it is not exactly one JSON value. */
  public static @Nullable JsonNode parse(byte[] body) {
    return read(JSON, body);
  }

  /** The body of a message between controllers, or null when it is not CBOR. */
  public static @Nullable JsonNode parseCbor(byte[] body) {
    return read(CBOR, body);
  }

  /** Reads a body token by token, where a tree of it would cost too much. */
  static JsonParser parser(byte[] body) throws IOException {
    return JSON.getFactory().createParser(body);
  }

  /** The JSON text of a tree, in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    return write(JSON, node);
  }

  /** The CBOR form of a tree. */
  public static byte[] cbor(JsonNode node) {
    return write(CBOR, node);
  }

  private static @Nullable JsonNode read(ObjectMapper mapper, byte[] body) {
    try (var parser = mapper.getFactory().createParser(body)) {
      JsonNode node = mapper.readTree(parser);
      return node == null || node.isMissingNode() || parser.nextToken() != null ? null : node;
    } catch (IOException | RuntimeException e) {
      return null;
    }
  }

  private static byte[] write(ObjectMapper mapper, JsonNode node) {
    try {
      return mapper.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree can always be written", e);
    }
  }

  /** The text of a field, or null when it is absent, null or no text. */
  public static @Nullable String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isTextual() ? value.textValue() : null;
  }

  /** The whole part of a field, or the default when it is absent or no number. */
  public static long integer(JsonNode node, String field, long defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.longValue() : defaultValue;
  }

  /** The value of a field, or the default when it is absent or no number. */
  public static double number(JsonNode node, String field, double defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.doubleValue() : defaultValue;
  }

  /** The value of a field; false when it is absent or no boolean. */
  public static boolean bool(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isBoolean() && value.booleanValue();
  }
}
