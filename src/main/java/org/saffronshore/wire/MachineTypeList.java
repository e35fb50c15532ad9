package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The cloud's list of machine types, with the form in which the cloud sent it: that form is stored
 * as it is, fields that this version does not know included.
 */
public final class MachineTypeList {
  private final JsonNode original;
  private final Map<String, MachineType> types;

  private MachineTypeList(JsonNode original, Map<String, MachineType> types) {
    this.original = original;
    this.types = types;
  }

  /** Reads the body of the cloud's response. */
  public static MachineTypeList parse(byte[] body) throws InvalidFieldException {
    JsonNode tree = Json.parse(body);
    if (tree == null) {
      throw new InvalidFieldException("body", "must be an object");
    }
    return parse(tree);
  }

  /** Reads the stored form. */
  public static MachineTypeList parse(JsonNode stored) throws InvalidFieldException {
    return new MachineTypeList(stored, MachineType.parseAll(stored));
  }

  /** The machine types by name, in the order of the list. */
  public Map<String, MachineType> types() {
    return types;
  }

  /** The stored form. */
  public JsonNode toJson() {
    return original;
  }

  /** The size of the stored form in bytes. */
  public int sizeBytes() {
    return Json.bytes(original).length;
  }
}
