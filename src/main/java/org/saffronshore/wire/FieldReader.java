package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Checked access to the fields of an object; every failure names the field by its path. */
public record FieldReader(JsonNode node, String path) {

  /** The fields of a value that has to be an object. */
  public static FieldReader of(JsonNode node, String path) throws InvalidFieldException {
    if (node == null || !node.isObject()) {
      throw new InvalidFieldException(path.isEmpty() ? "body" : path, "must be an object");
    }
    return new FieldReader(node, path);
  }

  private String at(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private static boolean absent(JsonNode value) {
    return value == null || value.isNull();
  }

  public boolean has(String field) {
    return !absent(node.get(field));
  }

  public FieldReader object(String field) throws InvalidFieldException {
    return of(node.get(field), at(field));
  }

  /** A list of objects that has to be there. */
  public List<FieldReader> objects(String field) throws InvalidFieldException {
    List<FieldReader> all = new ArrayList<>();
    JsonNode values = node.get(field);
    if (absent(values) || !values.isArray()) {
      throw new InvalidFieldException(at(field), "must be a list");
    }
    for (int i = 0; i < values.size(); i++) {
      all.add(of(values.get(i), at(field) + "[" + i + "]"));
    }
    return all;
  }

  /** A text that has to be there and not empty. */
  public String text(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (absent(value) || !value.isTextual() || value.textValue().isEmpty()) {
      throw new InvalidFieldException(at(field), "must be a non-empty text");
    }
    return value.textValue();
  }

  public String textOrNull(String field) throws InvalidFieldException {
    return has(field) ? text(field) : null;
  }

  /** A list of texts, or null when it is absent or null. */
  public List<String> textsOrNull(String field) throws InvalidFieldException {
    if (!has(field)) {
      return null;
    }
    JsonNode values = node.get(field);
    if (!values.isArray()) {
      throw new InvalidFieldException(at(field), "must be a list of texts or null");
    }
    List<String> all = new ArrayList<>();
    for (JsonNode value : values) {
      if (!value.isTextual()) {
        throw new InvalidFieldException(at(field), "must be a list of texts or null");
      }
      all.add(value.textValue());
    }
    return List.copyOf(all);
  }

  /** A number that has to be there and in a range. */
  public double number(String field, double least, double most) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (absent(value) || !value.isNumber()) {
      throw new InvalidFieldException(at(field), "must be a number");
    }
    double number = value.doubleValue();
    if (!Double.isFinite(number) || number < least || number > most) {
      throw new InvalidFieldException(at(field), "must be from " + least + " to " + most);
    }
    return number;
  }

  public double number(String field, double least, double most, double otherwise)
      throws InvalidFieldException {
    return has(field) ? number(field, least, most) : otherwise;
  }

  /** A whole number that has to be there and in a range. */
  public long count(String field, long least, long most) throws InvalidFieldException {
    double number = number(field, (double) least, (double) most);
    if (number != Math.rint(number)) {
      throw new InvalidFieldException(at(field), "must be a whole number");
    }
    return node.get(field).longValue();
  }

  /** A boolean that has to be there. */
  public boolean flag(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (absent(value) || !value.isBoolean()) {
      throw new InvalidFieldException(at(field), "must be true or false");
    }
    return value.booleanValue();
  }
}
