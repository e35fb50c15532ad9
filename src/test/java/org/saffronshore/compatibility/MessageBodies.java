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

/** Builds and reads the bodies of messages, and loads the samples in the test resources. */
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

  /** Returns a JSON value encoded in CBOR. */
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

  /** Returns the text of a resource in the directory {@code compatibility}. */
  static String resource(String name) {
    try (InputStream in = MessageBodies.class.getResourceAsStream("/compatibility/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the default job submission with some fields set or changed. */
  static String jobWith(String changes) {
    ObjectNode job = jsonObject(resource("job.json"));
    job.setAll(jsonObject(changes));
    return job.toString();
  }

  /**
   * Sets or removes a field of a JSON tree.
   *
   * @param path the JSON pointer to the field, such as {@code /peers/0/node}
   * @param newValue the new value in JSON, or null to remove the field, which must be present
   */
  static void changeField(ObjectNode root, String path, String newValue) {
    int slash = path.lastIndexOf('/');
    ObjectNode object = (ObjectNode) root.at(path.substring(0, slash));
    String field = path.substring(slash + 1);
    if (newValue == null) {
      assertNotNull(object.remove(field), path);
    } else {
      object.set(field, parseJson(newValue));
    }
  }
}
