package org.saffronshore.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Checked access to the fields of a JSON object. A method that reads a field throws {@link
 * InvalidFieldException}, which names the field by its path, if the field is invalid, or if it is
 * required and missing.
 *
 * @param node the object
 * @param path the path of the object in the message; empty for the message itself
 */
public record FieldReader(JsonNode node, String path) {

  /** Returns a reader of the fields of a value, which must be an object. */
  public static FieldReader of(@Nullable JsonNode node, String path) throws InvalidFieldException {
    if (node == null || !node.isObject()) {
      throw new InvalidFieldException(path.isEmpty() ? "body" : path, "must be an object");
    }
    return new FieldReader(node, path);
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private static boolean isAbsent(@Nullable JsonNode value) {
    return value == null || value.isNull();
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String field) {
    return !isAbsent(node.get(field));
  }

  /** Returns the value of a required field that is an object. */
  public FieldReader object(String field) throws InvalidFieldException {
    return of(node.get(field), pathOf(field));
  }

  /** Returns the elements of a required field that is a list of objects. */
  public List<FieldReader> objects(String field) throws InvalidFieldException {
    List<FieldReader> all = new ArrayList<>();
    JsonNode values = node.get(field);
    if (isAbsent(values) || !values.isArray()) {
      throw new InvalidFieldException(pathOf(field), "must be a list");
    }
    for (int i = 0; i < values.size(); i++) {
      all.add(of(values.get(i), pathOf(field) + "[" + i + "]"));
    }
    return all;
  }

  /** Returns the value of a required field that is a non-empty string. */
  public String text(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isTextual() || value.textValue().isEmpty()) {
      throw new InvalidFieldException(pathOf(field), "must be a non-empty string");
    }
    return value.textValue();
  }

  /** Returns the value of an optional field that is a non-empty string; null if absent or null. */
  public @Nullable String textOrNull(String field) throws InvalidFieldException {
    return has(field) ? text(field) : null;
  }

  /** Returns the value of an optional field that is a list of strings; null if absent or null. */
  public @Nullable List<String> textsOrNull(String field) throws InvalidFieldException {
    if (!has(field)) {
      return null;
    }
    JsonNode values = node.get(field);
    if (!values.isArray()) {
      throw new InvalidFieldException(pathOf(field), "must be a list of strings or null");
    }
    List<String> all = new ArrayList<>();
    for (JsonNode value : values) {
      if (!value.isTextual()) {
        throw new InvalidFieldException(pathOf(field), "must be a list of strings or null");
      }
      all.add(value.textValue());
    }
    return List.copyOf(all);
  }

  /** Returns the value of a required field that is a number from {@code min} to {@code max}. */
  public double number(String field, double min, double max) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isNumber()) {
      throw new InvalidFieldException(pathOf(field), "must be a number");
    }
    double number = value.doubleValue();
    if (!Double.isFinite(number) || number < min || number > max) {
      throw new InvalidFieldException(pathOf(field), "must be from " + min + " to " + max);
    }
    return number;
  }

  /** Returns the value of an optional field that is a number; the default if absent or null. */
  public double number(String field, double min, double max, double defaultValue)
      throws InvalidFieldException {
    return has(field) ? number(field, min, max) : defaultValue;
  }

  /** Returns the value of a required field that is an integer from {@code min} to {@code max}. */
  public long integer(String field, long min, long max) throws InvalidFieldException {
    double number = number(field, (double) min, (double) max);
    if (number != Math.rint(number)) {
      throw new InvalidFieldException(pathOf(field), "must be an integer");
    }
    return node.get(field).longValue();
  }

  /** Returns the value of a required field that is a boolean. */
  public boolean bool(String field) throws InvalidFieldException {
    JsonNode value = node.get(field);
    if (isAbsent(value) || !value.isBoolean()) {
      throw new InvalidFieldException(pathOf(field), "must be true or false");
    }
    return value.booleanValue();
  }
}
