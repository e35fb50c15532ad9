package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.saffronshore.http.Response;

/** Bodies of messages, and the samples of them that stand in files. */
final class MessageBodies {
  static final String JSON_CONTENT_TYPE = "application/json";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  private MessageBodies() {}

  static JsonNode parseJson(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ObjectNode jsonObject(String text) {
    return (ObjectNode) parseJson(text);
  }

  static String errorBody(String problem) {
    return jsonObject("{}").put("error", problem).toString();
  }

  static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static Response response(int status, String body) {
    return new Response(status, utf8(body));
  }

  /** The message in CBOR that has this form in JSON. */
  static byte[] toCbor(String json) {
    try {
      return CBOR.writeValueAsBytes(parseJson(json));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ObjectNode parseCbor(byte[] body) {
    try {
      return (ObjectNode) CBOR.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String resource(String name) {
    try (InputStream in = MessageBodies.class.getResourceAsStream("/compatibility/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The usual submission, with some fields set or changed. */
  static String jobWith(String changes) {
    ObjectNode job = jsonObject(resource("job.json"));
    job.setAll(jsonObject(changes));
    return job.toString();
  }

  /**
   * Changes a field of a tree.
   *
   * @param at the path of the field, with slashes
   * @param changed the value in JSON, or null to remove the field
   */
  static void changeField(ObjectNode root, String at, String changed) {
    int slash = at.lastIndexOf('/');
    ObjectNode object = (ObjectNode) root.at(at.substring(0, slash));
    String field = at.substring(slash + 1);
    if (changed == null) {
      assertNotNull(object.remove(field), at);
    } else {
      object.set(field, parseJson(changed));
    }
  }
}
