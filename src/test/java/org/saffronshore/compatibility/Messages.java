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
final class Messages {
  static final String JSON_TYPE = "application/json";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ObjectMapper CBOR = new CBORMapper();

  private Messages() {}

  static JsonNode value(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ObjectNode json(String text) {
    return (ObjectNode) value(text);
  }

  static String error(String problem) {
    return json("{}").put("error", problem).toString();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static Response answer(int status, String body) {
    return new Response(status, bytes(body));
  }

  /** The message in CBOR that has this form in JSON. */
  static byte[] cbor(String json) {
    try {
      return CBOR.writeValueAsBytes(value(json));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ObjectNode readCbor(byte[] body) {
    try {
      return (ObjectNode) CBOR.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String resource(String name) {
    try (InputStream in = Messages.class.getResourceAsStream("/compatibility/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The usual submission, with some fields set or changed. */
  static String job(String changes) {
    ObjectNode job = json(resource("job.json"));
    job.setAll(json(changes));
    return job.toString();
  }

  /**
   * Changes a field of a tree.
   *
   * @param at the path of the field, with slashes
   * @param changed the value in JSON, or null to remove the field
   */
  static void change(ObjectNode root, String at, String changed) {
    int slash = at.lastIndexOf('/');
    ObjectNode object = (ObjectNode) root.at(at.substring(0, slash));
    String field = at.substring(slash + 1);
    if (changed == null) {
      assertNotNull(object.remove(field), at);
    } else {
      object.set(field, value(changed));
    }
  }
}
