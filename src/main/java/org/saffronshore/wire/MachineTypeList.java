package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The cloud's list of machine types, together with the JSON tree that the cloud sent. The tree is
 * stored unchanged, including fields that are unknown to this version.
 */
public final class MachineTypeList {
  private final JsonNode original;
  private final Map<String, MachineType> types;

  private MachineTypeList(JsonNode original, Map<String, MachineType> types) {
    this.original = original;
    this.types = types;
  }

  /** Parses the body of the cloud's response. */
  public static MachineTypeList parse(byte[] body) throws InvalidFieldException {
    JsonNode tree = Json.parse(body);
    if (tree == null) {
      throw new InvalidFieldException("body", "must be an object");
    }
    return parse(tree);
  }

  /** Parses the stored form. */
  public static MachineTypeList parse(JsonNode stored) throws InvalidFieldException {
    return new MachineTypeList(stored, MachineType.parseAll(stored));
  }

  /** Returns the machine types by name, in the order of the list. */
  public Map<String, MachineType> types() {
    return types;
  }

  /** Returns the stored form. */
  public JsonNode toJson() {
    return original;
  }

  /** Returns the size of the stored form in bytes. */
  public int sizeBytes() {
    return Json.bytes(original).length;
  }
}
