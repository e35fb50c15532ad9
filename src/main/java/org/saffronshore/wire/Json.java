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
 * Reads and writes message bodies. Only trees and streams are used: on a small share of a core,
 * binding to classes by reflection would take most of the start-up time.
 */
public final class Json {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  private Json() {}

  /** Returns a new object without fields. */
  public static ObjectNode object() {
    return JSON.createObjectNode();
  }

  /** Returns the body as a tree, or null if it is not exactly one JSON value. */
  public static @Nullable JsonNode parse(byte[] body) {
    return read(JSON, body);
  }

  /**
   * Returns a CBOR body, the form that controllers send each other, as a tree, or null if it is not
   * exactly one value.
   */
  public static @Nullable JsonNode parseCbor(byte[] body) {
    return read(CBOR, body);
  }

  /** Returns a parser that reads a body token by token, where a tree would be too expensive. */
  static JsonParser parser(byte[] body) throws IOException {
    return JSON.getFactory().createParser(body);
  }

  /** Returns the JSON text of a tree, in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    return write(JSON, node);
  }

  /** Returns the CBOR form of a tree. */
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
      throw new IllegalStateException("cannot serialize a JSON tree", e);
    }
  }

  /** Returns the value of a string field, or null if it is absent or not a string. */
  public static @Nullable String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isTextual() ? value.textValue() : null;
  }

  /** Returns the integer part of a numeric field, or the default if absent or not a number. */
  public static long integer(JsonNode node, String field, long defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.longValue() : defaultValue;
  }

  /** Returns the value of a numeric field, or the default if it is absent or not a number. */
  public static double number(JsonNode node, String field, double defaultValue) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.doubleValue() : defaultValue;
  }

  /** Returns the value of a boolean field; false if it is absent or not a boolean. */
  public static boolean bool(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isBoolean() && value.booleanValue();
  }
}
