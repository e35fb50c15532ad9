package org.saffronshore.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/**
 * Reading and writing of message bodies. Only the tree model is used: binding to classes by
 * reflection would cost a node most of its start-up time on a small share of a core.
 */
public final class Json {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  private Json() {}

  public static ObjectNode object() {
    return JSON.createObjectNode();
  }

  /** The body as a tree, or null when it is not exactly one JSON value. */
  public static JsonNode parse(byte[] body) {
    return read(JSON, body);
  }

  /** The body of a message between controllers, or null when it is not CBOR. */
  public static JsonNode parseCbor(byte[] body) {
    return read(CBOR, body);
  }

  /** Reads a body piece by piece, where a tree of it would cost too much. */
  static JsonParser parser(byte[] body) throws IOException {
    return JSON.getFactory().createParser(body);
  }

  public static byte[] bytes(JsonNode node) {
    return write(JSON, node);
  }

  public static byte[] cbor(JsonNode node) {
    return write(CBOR, node);
  }

  private static JsonNode read(ObjectMapper mapper, byte[] body) {
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
  public static String text(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isTextual() ? value.textValue() : null;
  }

  public static long integer(JsonNode node, String field, long otherwise) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.longValue() : otherwise;
  }

  public static double number(JsonNode node, String field, double otherwise) {
    JsonNode value = node.get(field);
    return value != null && value.isNumber() ? value.doubleValue() : otherwise;
  }

  public static boolean bool(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value != null && value.isBoolean() && value.booleanValue();
  }
}
